/** A claimed call within an entry: its claim, and the request it was made for. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { RequestState } from '../requests/RequestState.js';
import type { ClaimedCall } from './ClaimedCall.js';

export interface RequestClaim {
  readonly call: ClaimedCall;
  /** It may have its final answer already; the claim lives on until the log has its end. */
  readonly accepted: RequestState;
  /** When the pending command is sent again. */
  resendAt: MonotonicMilliseconds;
}

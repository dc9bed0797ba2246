/** The claim of one request within an entry. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { RequestState } from '../requests/RequestState.js';
import type { ClaimedCallState } from './ClaimedCallState.js';

export interface RequestClaim {
  readonly call: ClaimedCallState;
  /** May already be answered; the claim is kept until its outcome or release is in the log. */
  readonly requestState: RequestState;
  /** When the pending command is resent, or the log is asked again for the outcome. */
  resendAt: MonotonicMilliseconds;
}

/**
 * Counts a request for the usage report once a backend server has begun to run it, which its first
 * token shows, or an answer that says that the server failed. A request that is sent to several
 * servers counts once.
 */
import type { EpochMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';

export function countBegun(
  { usage }: EntryState,
  requestState: RequestState,
  wallNow: EpochMilliseconds,
): void {
  if (requestState.isCountedAsBegun === true) return;
  requestState.isCountedAsBegun = true;
  usage.record(requestState.request.workspace, wallNow);
}

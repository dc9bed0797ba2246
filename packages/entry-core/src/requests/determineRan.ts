/**
 * Determines whether a request that is being ended may have run. `no` is a guarantee: every attempt
 * has ended, each has proved that it did not run, and no other entry may be running the same call. While an
 * attempt is open, it may send its first byte at any moment.
 */
import type { RanStatus } from '@hornbeampond/schema';
import type { RequestState } from './RequestState.js';

export function determineRan(accepted: RequestState): RanStatus {
  const { attemptId, maybeSent = false, mayRunForOtherRequest: mayRunElsewhere = false } = accepted;
  return attemptId === undefined && !maybeSent && !mayRunElsewhere ? 'no' : 'unknown';
}

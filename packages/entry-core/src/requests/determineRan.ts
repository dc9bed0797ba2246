/**
 * Whether a request that is being given up can have run. `no` is a promise, so it needs that every
 * attempt has ended and proved that it sent nothing; an attempt that is still open may send
 * its first byte at any moment. A call sent again may have run at the entry that took it first.
 */
import type { Ran } from '@hornbeampond/schema';
import type { RequestState } from './RequestState.js';

export function determineRan(accepted: RequestState): Ran {
  const { attemptId, maybeSent = false, mayRunElsewhere = false } = accepted;
  return attemptId === undefined && !maybeSent && !mayRunElsewhere ? 'no' : 'unknown';
}

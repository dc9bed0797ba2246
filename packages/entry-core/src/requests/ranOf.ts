/**
 * Whether a request that is being given up can have run. `no` is a promise, so it needs that every
 * attempt has ended and proved that it sent nothing; an attempt that is still open may send
 * its first byte at any moment.
 */
import type { Ran } from '@hornbeampond/schema';
import type { RequestState } from './RequestState.js';

export function ranOf(accepted: RequestState): Ran {
  return accepted.attemptId === undefined && accepted.maybeSent !== true ? 'no' : 'unknown';
}

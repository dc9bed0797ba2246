/**
 * When a refused caller is asked to come back. A prediction alone would send all callers that
 * were refused in one moment back in one moment, to be refused again; so each is given a time of
 * its own, one place of the queue after the one before. Times are kept by what refused them and
 * by workspace, so that a workspace that floods only puts off itself.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export const MAX_RETRY_AFTER_MILLISECONDS: Milliseconds = 60_000;
const MIN_RETRY_AFTER_MILLISECONDS: Milliseconds = 50;

/**
 * @param key - What refused the caller.
 * @param wait - Predicted time until there is room for one.
 * @param interval - Predicted time from then on between two that find room.
 */
export function assignRetryAfter(
  state: EntryState,
  key: string,
  wait: Milliseconds,
  interval: Milliseconds,
  now: MonotonicMilliseconds,
): Milliseconds {
  const last = state.admission.retryTimes.get(key) ?? Number.NEGATIVE_INFINITY;
  const earliest = Math.max(now + wait, last + interval);
  const latest = now + MAX_RETRY_AFTER_MILLISECONDS;
  const retryAt = Math.min(earliest, latest);
  state.admission.retryTimes.set(key, retryAt);
  return Math.ceil(Math.max(MIN_RETRY_AFTER_MILLISECONDS, retryAt - now));
}

export function expireRetryTimes(state: EntryState, now: MonotonicMilliseconds): void {
  for (const [key, retryAt] of state.admission.retryTimes) {
    if (retryAt < now) state.admission.retryTimes.delete(key);
  }
}

/**
 * Assigns refused callers the time of their retry. Callers refused together would also retry
 * together and be refused again, so each gets a time of its own, one interval after the previous.
 * The times are kept by reason and workspace, so that a workspace that floods delays only its own
 * callers.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export const MAX_RETRY_AFTER_MILLISECONDS: Milliseconds = 60_000;
const MIN_RETRY_AFTER_MILLISECONDS: Milliseconds = 50;

/**
 * @param key - The reason of the refusal and the workspace.
 * @param wait - Predicted time until one more request can be accepted.
 * @param interval - Predicted time from then on between two requests that can be accepted.
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

/**
 * Starts the retries whose wait is over. Suspects of a crash go in the order of the time they ran
 * on the lost backend server, shortest first: a request that crashes its engine tends to do so soon,
 * and once it is found all others are free to run together again.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { WaitingRetry } from './RetryState.js';
import { startAttempt } from './startAttempt.js';

function exposureOf(state: EntryState, { requestId }: WaitingRetry): number {
  const digest = state.requests.get(requestId)?.request.digest ?? '';
  return state.quarantine.suspects.get(digest)?.exposure ?? 0;
}

export function advanceRetries(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  return startWaiting(state, now, ({ dueAt }) => dueAt <= now);
}

/** Looks again at once at all that wait for a backend server, as there may be one now. */
export function startRetriesAwaitingServer(
  state: EntryState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  return startWaiting(state, now, ({ waitsFor }) => waitsFor === 'backendServer');
}

function startWaiting(
  state: EntryState,
  now: MonotonicMilliseconds,
  isDue: (waiting: WaitingRetry) => boolean,
): EntryEffect[] {
  const due = [...state.retries.waiting.values()].filter(isDue);
  due.sort((a, b) => exposureOf(state, a) - exposureOf(state, b) || a.dueAt - b.dueAt);
  return due.flatMap(({ requestId }) => {
    const accepted = state.requests.get(requestId);
    state.retries.waiting.delete(requestId);
    if (accepted === undefined || accepted.attemptId !== undefined) return [];
    return startAttempt(state, accepted, now);
  });
}

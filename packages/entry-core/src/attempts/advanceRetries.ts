/**
 * Starts attempts of the waiting requests whose wait is over. Suspects of a crash are started in
 * order of the time they had run on the crashed backend server, shortest first: a request that
 * crashes its engine usually does so early, and once it is found the other suspects may share
 * servers again.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { WaitingRequest } from './RetryState.js';
import { startAttempt } from './startAttempt.js';

function getCrashExposure(state: EntryState, { requestId }: WaitingRequest): number {
  const digest = state.requests.get(requestId)?.request.digest ?? '';
  return state.quarantine.suspects.get(digest)?.exposure ?? 0;
}

export function advanceRetries(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  return startSelectedRequests(state, now, ({ dueAt }) => dueAt <= now);
}

/** Starts immediately all requests that wait for a backend server, as one may be usable again. */
export function startRequestsAwaitingServer(
  state: EntryState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  return startSelectedRequests(state, now, ({ waitsFor }) => waitsFor === 'backendServer');
}

function startSelectedRequests(
  state: EntryState,
  now: MonotonicMilliseconds,
  isSelected: (waiting: WaitingRequest) => boolean,
): EntryEffect[] {
  const selected = [...state.retries.waiting.values()].filter(isSelected);
  selected.sort(
    (a, b) => getCrashExposure(state, a) - getCrashExposure(state, b) || a.dueAt - b.dueAt,
  );
  return selected.flatMap(({ requestId }) => {
    const requestState = state.requests.get(requestId);
    state.retries.waiting.delete(requestId);
    if (requestState === undefined || requestState.attemptId !== undefined) return [];
    return startAttempt(state, requestState, now);
  });
}

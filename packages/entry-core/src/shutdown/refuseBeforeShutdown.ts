/**
 * Refuses requests that have not run and cannot be expected to end before the time limit of a
 * shutdown. The refusal promises that the request did not run, so its caller can go to another entry.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EarlyRefusal } from '../admission/EarlyRefusal.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { determineRan } from '../requests/determineRan.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import { findShutdownConflict } from './findShutdownConflict.js';

/** Short, because another entry can serve the caller immediately. */
export const SHUTDOWN_RETRY_AFTER_MILLISECONDS = 100;

const DETAIL = 'This instance is shutting down before the answer could be complete';

/** The refusal of an arriving request that is expected to be sent to a server after `wait`. */
export function refuseArrivalBeforeShutdown(
  state: EntryState,
  accepted: RequestState,
  wait: Milliseconds,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const facts = findShutdownConflict(state, accepted, wait, now);
  if (facts === undefined) return undefined;
  const retryAfterMilliseconds = SHUTDOWN_RETRY_AFTER_MILLISECONDS;
  return { kind: 'draining', detail: DETAIL, retryAfterMilliseconds, facts };
}

/**
 * Ends an accepted request that is not to be sent on any more; undefined if it may be. One that may
 * have run goes on until the time limit: only its retry can still complete it.
 */
export function failBeforeShutdown(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EntryEffect[] | undefined {
  if (!state.shutdown.started || determineRan(accepted) !== 'no') return undefined;
  const facts = findShutdownConflict(state, accepted, 0, now);
  if (facts === undefined) return undefined;
  const problem = { retryAfterMilliseconds: SHUTDOWN_RETRY_AFTER_MILLISECONDS };
  return [
    ...countRefusedRetry(accepted),
    ...failRequest(state, accepted, 'draining', DETAIL, problem, facts),
  ];
}

function countRefusedRetry({ attemptsStarted }: RequestState): EntryEffect[] {
  if (attemptsStarted === 0) return [];
  return [{ type: 'count', metric: 'retriesRefused', label: 'shuttingDown' }];
}

/** Ends the requests that wait and can no longer be expected to end in time. */
export function failWaitingBeforeShutdown(
  state: EntryState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  return [...state.requests.values()].flatMap(
    (accepted) => failBeforeShutdown(state, accepted, now) ?? [],
  );
}

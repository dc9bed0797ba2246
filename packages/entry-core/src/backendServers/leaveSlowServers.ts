/**
 * Tries a request elsewhere that waits for its first token at a backend server which has become slow,
 * if it would be late there and another server can still meet its deadline. Only what may run twice
 * is tried elsewhere, and only within the retry budgets.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import { launchAttempt } from '../attempts/launchAttempt.js';
import { cancelAttempt, removeCacheMove } from '../attempts/releaseAttempts.js';
import { spendRetry } from '../attempts/retryBudget.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { isSuspect } from '../quarantine/suspects.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import { chooseBackendServer } from './chooseBackendServer.js';
import { getPoolState } from './getPoolState.js';
import { nextTokenDueAt } from './nextTokenDueAt.js';
import { predictFirstTokenDelay } from './predictFirstTokenDelay.js';
import { knownTimeFactor } from './timeFactors.js';

/** True if the server states that work takes longer than it usually does there. */
function hasBecomeSlow(state: EntryState, instance: string, now: MonotonicMilliseconds): boolean {
  const { speeds } = state;
  return speeds.isInUnusualPeriod(instance, now) && speeds.statedDeviation(instance, now) > 1;
}

/** The request of an attempt that waits for its first token and may be tried elsewhere once. */
function findMovableRequest(state: EntryState, attempt: AttemptState): RequestState | undefined {
  const requestState = state.requests.get(attempt.requestId);
  if (requestState?.attemptId !== attempt.attemptId || attempt.timedOut) return undefined;
  const { route, attemptsStarted, firstTokenAt, tokens } = requestState;
  if (attempt.firstTokenAt !== undefined || firstTokenAt !== undefined || tokens > 0) {
    return undefined;
  }
  // A suspect that is moved would put another server at risk.
  if (isSuspect(state, requestState.request.digest)) return undefined;
  const mayTryAgain = route.idempotent && attemptsStarted === 1 && (route.mostAttempts ?? 2) > 1;
  return mayTryAgain ? requestState : undefined;
}

function isLateAt(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  now: MonotonicMilliseconds,
): boolean {
  const server = state.backendServers.get(attempt.instance);
  const pending = server?.balancing.pendingPrompts.get(attempt.attemptId);
  if (server === undefined || pending === undefined) return false;
  const { firstTokenRegression } = getPoolState(state, requestState.pool.name);
  const delay =
    firstTokenRegression.predict(pending.tokensUntilFirstToken) *
    knownTimeFactor(state, server, now);
  return attempt.startedAt + delay > nextTokenDueAt(requestState);
}

/** Another server that is predicted to meet the deadline. */
function findServerInTime(
  state: EntryState,
  requestState: RequestState,
  now: MonotonicMilliseconds,
): BackendServerState | undefined {
  const server = chooseBackendServer(state, requestState);
  if (server === undefined) return undefined;
  const pool = getPoolState(state, requestState.pool.name);
  const delay = predictFirstTokenDelay(state, pool, server, requestState);
  return now + delay <= nextTokenDueAt(requestState) ? server : undefined;
}

function leaveAttempt(state: EntryState, requestState: RequestState): EntryEffect[] {
  removeCacheMove(state, requestState.request.requestId);
  return cancelAttempt(state, requestState);
}

function leaveServer(
  state: EntryState,
  attempt: AttemptState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const requestState = findMovableRequest(state, attempt);
  if (requestState === undefined || !isLateAt(state, requestState, attempt, now)) return [];
  const server = findServerInTime(state, requestState, now);
  if (server === undefined) return [];
  const { entryCount } = state.limits.concurrencyLimiter;
  const { instance } = attempt;
  const pool = requestState.pool.name;
  if (!spendRetry(state.retries, { pool, instance, entryCount })) return [];
  return [
    { type: 'count', metric: 'retries', label: 'serverSlow' },
    ...leaveAttempt(state, requestState),
    ...launchAttempt(state, requestState, server, now),
  ];
}

/** Tick handler. */
export function leaveSlowServers(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  return [...state.attempts.values()]
    .filter(({ instance }) => hasBecomeSlow(state, instance, now))
    .flatMap((attempt) => leaveServer(state, attempt, now));
}

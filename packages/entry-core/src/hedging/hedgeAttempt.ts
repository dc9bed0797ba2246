/**
 * Sends a call that takes unusually long to another backend server as well. The first complete answer
 * is used and the other attempt is cancelled; see `reduceAttempts` and `failAttempt`.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { placeRequest } from '../admission/placeRequest.js';
import type { AttemptState } from '../attempts/AttemptState.js';
import { launchAttempt } from '../attempts/launchAttempt.js';
import { canSpendHedge, readHedgeBudget, spendHedge } from '../attempts/retryBudget.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { isSuspect } from '../quarantine/suspects.js';
import type { RequestState } from '../requests/RequestState.js';
import { findHedgeRefusal, type HedgeInputs } from './decideHedge.js';
import { getRouteDurations } from './HedgingState.js';
import type { UsualDurations } from './RouteDurations.js';

/** A server that can take the request now, in the version that the request uses. */
function findFreeServer(
  state: EntryState,
  requestState: RequestState,
  now: MonotonicMilliseconds,
): BackendServerState | undefined {
  const placement = placeRequest(state, { ...requestState, isBeingHedged: true }, now);
  return placement.type === 'start' ? placement.server : undefined;
}

function budgetSource(state: EntryState, { pool }: RequestState) {
  return { pool: pool.name, entryCount: state.limits.concurrencyLimiter.entryCount };
}

function collectInputs(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  usual: UsualDurations,
  server: BackendServerState | undefined,
): HedgeInputs {
  const { route, request, attemptsStarted, firstTokenDueAt } = requestState;
  return {
    now: state.clocks.now,
    targetAt: firstTokenDueAt,
    hasAnswerBegun: attempt.firstTokenAt !== undefined,
    attemptsLeft: (route.mostAttempts ?? Infinity) - attemptsStarted,
    isProcessSlow: state.slowness.detector.isSlow,
    lateFraction: getRouteDurations(state.hedging, route.name).lateFraction,
    lowerQuartile: usual.lowerQuartile,
    isSuspect: isSuspect(state, request.digest),
    isWithinBudget: canSpendHedge(state.retries, budgetSource(state, requestState)),
    hasFreeServer: server !== undefined,
  };
}

function logHedge(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  usual: UsualDurations,
  { now, targetAt, lateFraction }: HedgeInputs,
): EntryEffect {
  const { remainingRetries, savedHedges } = readHedgeBudget(
    state.retries,
    budgetSource(state, requestState),
  );
  const runningFor: Milliseconds = now - attempt.startedAt;
  return {
    type: 'log',
    event: 'attemptHedged',
    fields: {
      requestId: requestState.request.requestId,
      attemptId: attempt.attemptId,
      backendServer: attempt.instance,
      runningFor,
      targetIn: targetAt - now,
      median: usual.median,
      percentile95: usual.percentile95,
      samples: usual.samples,
      lateFraction,
      remainingRetries,
      savedHedges,
    },
  };
}

/** Handles the time at which an attempt has run for longer than usual. */
export function hedgeAttempt(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const usual = getRouteDurations(state.hedging, requestState.route.name).readUsual();
  if (usual === undefined || requestState.hedge !== undefined) return [];
  if (requestState.attemptId !== attempt.attemptId) return [];
  const server = findFreeServer(state, requestState, now);
  const inputs = collectInputs(state, requestState, attempt, usual, server);
  const refusal = findHedgeRefusal(inputs);
  if (refusal !== undefined || server === undefined) {
    return [{ type: 'count', metric: 'hedgesNotSent', label: refusal ?? 'noFreeServer' }];
  }
  const log = logHedge(state, requestState, attempt, usual, inputs);
  spendHedge(state.retries, budgetSource(state, requestState));
  return [
    { type: 'count', metric: 'hedges', label: 'sent' },
    log,
    ...launchAttempt(state, requestState, server, now, 'hedge'),
  ];
}

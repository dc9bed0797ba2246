/**
 * Starts an attempt of a request at a given backend server. Whether and where a request is tried is
 * decided by `startAttempt`.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { canBeHedged } from '../hedging/canBeHedged.js';
import { chooseHedgeDelay } from '../hedging/decideHedge.js';
import { getRouteDurations } from '../hedging/HedgingState.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import { describePrediction } from '../backendServers/predictFirstTokenDelay.js';
import { makeAttemptTarget } from '../backendServers/makeAttemptTarget.js';
import { attemptIdOf } from './AttemptState.js';
import { isSuspect } from '../quarantine/suspects.js';
import { estimatePrefillDuration } from '../reclaims/recoveryCosts.js';
import type { RequestState } from '../requests/RequestState.js';
import { assumeRoom } from '../statements/AssumedRoom.js';
import { countTowardsRateLimit } from '../statements/rateAllowance.js';
import { bindVersion } from '../streamVersions/boundVersion.js';
import { earnRetries } from './retryBudget.js';

/** Engines start requests of any other priority first. */
const LOWEST_PRIORITY = 9;

/** A stream without data for this long is considered lost. */
const STREAM_IDLE_TIMEOUT_MILLISECONDS = 5000;

const MIN_FIRST_BYTE_TIMEOUT_MILLISECONDS = 1000;

/**
 * Fraction of the time until the first token is due after which an attempt without data times out.
 */
const MAX_FIRST_BYTE_FRACTION_OF_TIME_LEFT = 0.6;

/** How many times longer than estimated a prefill may take before the attempt times out. */
const MAX_PREFILL_SLOWDOWN = 3;

/**
 * How long to wait for the first byte. An attempt that no other can follow may use all the time
 * until the deadline. Any other leaves time for another attempt before the first token is due, but
 * allows for the prefill of the prompt and, on a resume, of the tokens generated so far.
 */
function computeFirstByteTimeout(
  requestState: RequestState,
  now: MonotonicMilliseconds,
): Milliseconds {
  const timeUntilDeadline = Math.max(1, requestState.wholeAnswerDueAt - now);
  const isLastAttempt =
    requestState.attemptsStarted >= (requestState.route.mostAttempts ?? Infinity);
  if (!requestState.route.idempotent || isLastAttempt) return timeUntilDeadline;
  const allowedWait = (requestState.firstTokenDueAt - now) * MAX_FIRST_BYTE_FRACTION_OF_TIME_LEFT;
  const minTimeout =
    MIN_FIRST_BYTE_TIMEOUT_MILLISECONDS +
    estimatePrefillDuration(requestState) * MAX_PREFILL_SLOWDOWN;
  return Math.min(timeUntilDeadline, Math.max(minTimeout, allowedWait));
}

/** Counts the tokens that the engine has to recompute for this attempt. */
function countRecomputed(requestState: RequestState): EntryEffect[] {
  const { recompute } = requestState;
  requestState.recompute = undefined;
  if (recompute === undefined || recompute.tokens === 0) return [];
  const { workspace } = requestState.request;
  const { reason, tokens } = recompute;
  return [
    { type: 'count', metric: 'recomputedTokens', label: reason, amount: tokens },
    { type: 'count', metric: 'recomputedTokensByWorkspace', label: workspace, amount: tokens },
  ];
}

interface HedgePlan {
  readonly hedgeAfter?: Milliseconds;
  readonly effects: readonly EntryEffect[];
}

/** Plans when the attempt that has just been counted is considered for a hedge. */
function planHedge(
  state: EntryState,
  requestState: RequestState,
  now: MonotonicMilliseconds,
): HedgePlan {
  const { route, attemptsStarted, hedge, firstTokenDueAt } = requestState;
  const hasAttemptLeft = attemptsStarted < (route.mostAttempts ?? Infinity);
  if (hedge !== undefined || !hasAttemptLeft || !canBeHedged(requestState)) return { effects: [] };
  const usual = getRouteDurations(state.hedging, route.name).readUsual();
  if (usual === undefined) {
    return { effects: [{ type: 'count', metric: 'hedgesNotSent', label: 'notMeasured' }] };
  }
  return { hedgeAfter: chooseHedgeDelay(usual, firstTokenDueAt - now), effects: [] };
}

/** A `hedge` runs beside the current attempt of its request. */
export type AttemptRole = 'current' | 'hedge';

export function launchAttempt(
  state: EntryState,
  requestState: RequestState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
  role: AttemptRole = 'current',
): EntryEffect[] {
  const { requestId } = requestState.request;
  const { instance, version } = server.platformInstance;
  const pool = getPoolState(state, requestState.pool.name);
  // The caller has received the beginning; all attempts continue at the same version.
  if (requestState.request.resumption !== undefined)
    bindVersion(requestState, { instance, version });
  if (requestState.attemptsStarted === 0) {
    const { entryCount } = state.limits.concurrencyLimiter;
    earnRetries(state.retries, { pool: requestState.pool.name, instance, entryCount });
  }
  requestState.attemptsStarted += 1;
  const attemptId = attemptIdOf(requestId, requestState.attemptsStarted);
  const resumeFromTokens = state.retries.policy.resumeFromOffset ? requestState.tokens : 0;
  if (role === 'hedge') requestState.hedge = { attemptId, isRunning: true };
  else requestState.attemptId = attemptId;
  const { hedgeAfter, effects: hedgeEffects } = planHedge(state, requestState, now);
  const isHeld = canBeHedged(requestState);
  requestState.waitingForServerSince = undefined;
  // Peers must know where a suspect runs before they place their own suspects.
  if (isSuspect(state, requestState.request.digest)) reportSoon(state);
  // Deleted first, so that the server tried last is always the last element.
  requestState.triedInstances.delete(instance);
  requestState.triedInstances.add(instance);
  state.retries.waiting.delete(requestId);
  server.attemptIds.add(attemptId);
  countTowardsRateLimit(state, server);
  state.rests.startTrial(instance, attemptId);
  state.attempts.set(attemptId, {
    attemptId,
    requestId,
    instance,
    version,
    startedAt: now,
    assumedRoom: assumeRoom(state, server),
    latenessBefore: state.slowness.detector.totalLateness(now),
    resumedFromTokens: resumeFromTokens,
    maybeSent: false,
    firstTokenAt: undefined,
    tokens: resumeFromTokens,
    tokensUpdatedAt: undefined,
    timedOut: false,
    ...(isHeld ? { isHeld } : {}),
  });
  return [
    ...countRecomputed(requestState),
    {
      type: 'startAttempt',
      requestId,
      attemptId,
      target: makeAttemptTarget(server, requestState.pool),
      workspace: requestState.request.workspace,
      timeLeft: Math.max(1, requestState.wholeAnswerDueAt - now),
      resumeFromTokens,
      priority: requestState.isLate === true ? LOWEST_PRIORITY : requestState.route.priority,
      sendOnce: !requestState.route.idempotent,
      firstByteTimeout: computeFirstByteTimeout(requestState, now),
      streamIdleTimeout: STREAM_IDLE_TIMEOUT_MILLISECONDS,
      ...(isHeld ? { isHeld } : {}),
      ...(hedgeAfter === undefined ? {} : { hedgeAfter }),
    },
    ...hedgeEffects,
    {
      type: 'log',
      event: 'attemptStarted',
      fields: { requestId, attemptId, ...describePrediction(state, pool, server, requestState) },
    },
  ];
}

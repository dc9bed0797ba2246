/**
 * Updates the load-balancing state from the events of this entry's own attempts, before the attempt
 * handlers process them: delays, service times, failures and cached prefixes.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure, EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { RequestState } from '../requests/RequestState.js';
import {
  adaptConcurrency,
  lowerConcurrency,
  TOLERATED_SLOWDOWN_FACTOR,
} from './adaptConcurrency.js';
import type { BackendServerState } from './BackendServerState.js';
import { recordFailure, recordSuccess } from './ejectOutliers.js';
import { estimateInProgress, recordEndedAttempt } from './estimateInProgress.js';
import type { PoolState } from './PoolState.js';
import { getPoolState } from './getPoolState.js';
import { countPendingTokens, estimateUncachedTokens } from './predictFirstTokenDelay.js';
import { knownTimeFactor } from './timeFactors.js';
import { currentLimit, type PendingPrompt } from './BalancingState.js';

/** The attempt of an event, and the state that belongs to it. */
interface AttemptContext {
  readonly attempt: AttemptState;
  readonly accepted: RequestState;
  readonly server: BackendServerState;
  readonly pool: PoolState;
  readonly now: MonotonicMilliseconds;
}

/** Failures caused by the backend server itself, not by the request or by a full server. */
const serverFailures: readonly AttemptFailure[] = [
  'connectFailed',
  'serverError',
  'connectionLost',
  'silent',
  'malformed',
];

function findAttemptContext(
  state: EntryState,
  attemptId: string,
  now: MonotonicMilliseconds,
): AttemptContext | undefined {
  const attempt = state.attempts.get(attemptId);
  const accepted = attempt && state.requests.get(attempt.requestId);
  const server = attempt && state.backendServers.get(attempt.instance);
  if (attempt === undefined || accepted === undefined || server === undefined) return undefined;
  return {
    attempt,
    accepted,
    server,
    pool: getPoolState(state, server.platformInstance.pool),
    now,
  };
}

/**
 * Weight of a first-token delay far above the expected one, or in a period that the server states to
 * be unusual. It is not zero, so that the regression adapts when all servers of a pool have become
 * slower.
 */
const UNTYPICAL_SAMPLE_WEIGHT = 0.1;

/**
 * With fewer samples the regression is hardly more than its prior. What remains of the prior is the
 * same for all servers of the pool and disappears in the relation to the pool's mean.
 */
const MIN_REGRESSION_SAMPLES = 5;

/** Below the fraction from which on a process counts as slow: samples are not scarce. */
const MAX_LATE_FRACTION = 0.3;

const MIN_DECODED_TOKENS = 8;

/** With fewer samples the pool's mean time per token is no measure for single servers. */
const MIN_DECODING_SAMPLES = 14;

/**
 * True if the delays that this process measures are those of the servers. One that was late for much
 * of the last second has read some answers late, and other entries take its samples for the server's.
 */
function readsInTime({ slowness }: EntryState): boolean {
  return slowness.detector.lateFraction <= MAX_LATE_FRACTION;
}

/** Not called while this process is slow: the delay would be its own, not the server's. */
function learnFromDelay(
  state: EntryState,
  { attempt, server, pool, now }: AttemptContext,
  { tokensUntilFirstToken }: PendingPrompt,
): void {
  const { speeds } = state;
  const { instance } = attempt;
  const { firstTokenRegression } = pool;
  const delay = now - attempt.startedAt;
  const meanDelay = firstTokenRegression.predict(tokensUntilFirstToken);
  if (firstTokenRegression.sampleCount >= MIN_REGRESSION_SAMPLES && readsInTime(state)) {
    speeds.recordAnswer(instance, 'firstToken', delay / Math.max(1, meanDelay), now);
  }
  const timeFactor = knownTimeFactor(state, server, now);
  const expectedDelay = meanDelay * timeFactor;
  const usualDelay = meanDelay * speeds.statedDeviation(instance, now);
  const delays = { expectedDelay, usualDelay };
  const isTypical =
    adaptConcurrency(pool, server, delay, delays, now) && !speeds.isInUnusualPeriod(instance, now);
  const weight = isTypical ? 1 : UNTYPICAL_SAMPLE_WEIGHT;
  const cappedDelay = Math.min(delay, TOLERATED_SLOWDOWN_FACTOR * expectedDelay);
  // The regression learns the delay of a mean server, not the differences of servers as noise.
  firstTokenRegression.addSample(tokensUntilFirstToken, cappedDelay / timeFactor, now, weight);
}

/** Records the time per answer token; shorter answers vary too much. */
function learnFromDecoding(
  state: EntryState,
  { attempt, pool, now }: AttemptContext,
  answerTokens: number,
): void {
  const { instance, firstTokenAt, resumedFromTokens, pausedByCaller } = attempt;
  const tokens = answerTokens - resumedFromTokens - 1;
  if (firstTokenAt === undefined || pausedByCaller === true || tokens < MIN_DECODED_TOKENS) return;
  const { speeds } = state;
  const timePerToken = (now - firstTokenAt) / tokens;
  if (timePerToken <= 0) return;
  const { decodingTime } = pool;
  if (decodingTime.samples >= MIN_DECODING_SAMPLES && readsInTime(state)) {
    speeds.recordAnswer(instance, 'decoding', timePerToken / decodingTime.value, now);
  }
  decodingTime.addSample(timePerToken / (speeds.learntFactor(instance, 'decoding') ?? 1));
}

function observeFirstToken(state: EntryState, context: AttemptContext): void {
  const { attempt, accepted, server, pool, now } = context;
  state.rests.finishTrial(attempt.instance, attempt.attemptId);
  const pending = server.balancing.pendingPrompts.get(attempt.attemptId);
  if (pending === undefined) return;
  server.balancing.pendingPrompts.delete(attempt.attemptId);
  if (!state.slowness.detector.isSlow) learnFromDelay(state, context, pending);
  // The server has just prefilled the prompt, so its prefixes are cached there; the server's own
  // cache event arrives later.
  const { prefixDigests } = accepted.request;
  pool.prefixCacheIndex.recordCached(server, prefixDigests, now);
  state.workReports.markOwnWorkChanged(server.platformInstance.instance);
  // The last part of a prompt is specific to the request, so other entries have no use for it.
  state.workReports.recordPrefilledPrefixes(
    server.platformInstance.instance,
    prefixDigests.slice(0, -1),
  );
}

function observeStart(state: EntryState, attemptId: string, now: MonotonicMilliseconds): void {
  const context = findAttemptContext(state, attemptId, now);
  if (context === undefined || context.server.balancing.pendingPrompts.has(attemptId)) return;
  const { accepted, server, pool } = context;
  pool.attemptIds.add(attemptId);
  pool.peakInProgress.record(pool.attemptIds.size, now);
  const uncachedTokens = estimateUncachedTokens(pool, server, accepted.request, now);
  const tokensUntilFirstToken = countPendingTokens(state, server) + uncachedTokens;
  pool.recordUncachedTokens(accepted.route.name, uncachedTokens);
  server.balancing.pendingPrompts.set(attemptId, {
    uncachedTokens,
    tokensUntilFirstToken,
  });
  state.workReports.markOwnWorkChanged(server.platformInstance.instance);
}

function observeEnd({ attempt, server, pool, now }: AttemptContext): void {
  pool.attemptIds.delete(attempt.attemptId);
  server.balancing.pendingPrompts.delete(attempt.attemptId);
  recordEndedAttempt(server, { startedAt: attempt.startedAt, endedAt: now });
}

/** A server counts as busy from this utilization on: it is nearly as slow as at its limit. */
const BUSY_FRACTION_OF_LIMIT = 0.8;

function observeFinish(state: EntryState, context: AttemptContext, answerTokens: number): void {
  const { attempt, accepted, server, pool, now } = context;
  observeEnd(context);
  recordSuccess(server);
  if (!state.slowness.detector.isSlow) learnFromDecoding(state, context, answerTokens);
  state.rests.finishTrial(attempt.instance, attempt.attemptId);
  const utilization = estimateInProgress(state, server) / currentLimit(server.balancing, now);
  const isBusy = utilization >= BUSY_FRACTION_OF_LIMIT;
  pool.recordServiceTime(accepted.route.name, now - attempt.startedAt, isBusy);
}

function observeFailure(
  state: EntryState,
  context: AttemptContext,
  failure: AttemptFailure,
): EntryEffect[] {
  const { server, pool, now } = context;
  observeEnd(context);
  if (failure === 'busy') lowerConcurrency(pool, server, now);
  if (!serverFailures.includes(failure)) return [];
  // A slow process reads answers late, so its timeouts say nothing about the server.
  if (failure === 'silent' && state.slowness.detector.isSlow) return [];
  if (!recordFailure(pool, server, now)) return [];
  const { instance } = server.platformInstance;
  const { ejectedUntil } = server.balancing;
  return [
    { type: 'count', metric: 'ejections', label: failure },
    {
      type: 'log',
      event: 'backendServerEjected',
      fields: { backendServer: instance, failure, ejectedUntil },
    },
  ];
}

export function observeAttempt(state: EntryState, event: EntryEvent): EntryEffect[] {
  if (!('attemptId' in event) || event.attemptId === undefined) return [];
  const context = findAttemptContext(state, event.attemptId, event.now);
  if (context === undefined) return [];
  if (event.type === 'firstTokenReceived') observeFirstToken(state, context);
  if (event.type === 'attemptFinished') observeFinish(state, context, event.tokens);
  if (event.type === 'attemptFailed') return observeFailure(state, context, event.failure);
  return [];
}

/** Records the attempts that the reducer has just started. */
export function observeAttemptStarts(
  state: EntryState,
  effects: readonly EntryEffect[],
  now: MonotonicMilliseconds,
): void {
  for (const effect of effects) {
    if (effect.type === 'startAttempt') observeStart(state, effect.attemptId, now);
  }
}

/** Removes attempts that ended without an event of their own, such as cancelled ones. */
export function pruneEndedAttempts(state: EntryState): void {
  for (const pool of state.poolStates.values()) {
    for (const attemptId of pool.attemptIds) {
      if (!state.attempts.has(attemptId)) pool.attemptIds.delete(attemptId);
    }
  }
}

/**
 * Predicts the time from sending a request to its first token at a backend server. A server
 * prefills prompts one after another, so the prediction is based on the uncached tokens of this
 * prompt and of all prompts pending at the server.
 */
import type { LogFields, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import type { PoolState } from './PoolState.js';
import { currentLimit, currentSlowness } from './BalancingState.js';
import {
  describeSpeed,
  firstTokenTimeFactor,
  knownTimeFactor,
  slotTimeFactor,
} from './timeFactors.js';

/** How much longer the first token takes on a full server than on an idle one, as a fraction. */
const FULL_SERVER_EXTRA_FRACTION_OF_DELAY = 0.5;

/** Tokens of the prompt that the server is estimated to have to prefill. */
export function estimateUncachedTokens(
  pool: PoolState,
  server: BackendServerState,
  request: CallerRequest,
  now: MonotonicMilliseconds,
): number {
  return request.promptTokens * (1 - pool.prefixCacheIndex.cachedFractionAt(server, request, now));
}

/**
 * Uncached tokens of all prompts sent to the server, by any entry, that have no first token yet.
 */
export function countPendingTokens(state: EntryState, server: BackendServerState): number {
  return (
    countOwnPendingTokens(server) +
    state.workReports.peerWorkAt(server.platformInstance.instance).promptTokens
  );
}

/** The same for the prompts of this entry alone. */
export function countOwnPendingTokens({ balancing }: BackendServerState): number {
  let tokens = 0;
  for (const pending of balancing.pendingPrompts.values()) tokens += pending.uncachedTokens;
  return tokens;
}

/**
 * Longest prefill queue inside a server, for the prompts of all entries together. A server prefills
 * in order of arrival; requests that wait in the entry are ordered by deadline and workspace.
 */
const MAX_PENDING_PREFILL_MILLISECONDS: Milliseconds = 400;

/**
 * True if the pending prompts leave no capacity for this one. A request whose prefix is cached may
 * wait longer by as much as it saves; a late one needs an empty queue.
 */
export function isPrefillQueueFull(
  state: EntryState,
  pool: PoolState,
  server: BackendServerState,
  { request, isLate = false }: RequestState,
): boolean {
  const pendingTokens = countPendingTokens(state, server);
  if (pendingTokens === 0) return false;
  if (isLate) return true;
  const { now } = state.clocks;
  const uncachedTokens = estimateUncachedTokens(pool, server, request, now);
  const timeFactor = knownTimeFactor(state, server, now);
  const savedTime =
    pool.firstTokenRegression.predictMarginalDelay(request.promptTokens - uncachedTokens) *
    timeFactor;
  const pendingTime = pool.firstTokenRegression.predictMarginalDelay(pendingTokens) * timeFactor;
  return pendingTime > MAX_PENDING_PREFILL_MILLISECONDS + savedTime;
}

/** What remains of the first-token delay that the last load report predicted. */
function remainingReportedDelay(
  server: BackendServerState,
  now: MonotonicMilliseconds,
): Milliseconds {
  const { measuredAt } = server.balancing;
  if (measuredAt === undefined) return 0;
  return Math.max(0, (server.load?.firstTokenDelay ?? 0) - (now - measuredAt));
}

export function predictFirstTokenDelay(
  state: EntryState,
  pool: PoolState,
  server: BackendServerState,
  { request, route }: RequestState,
): Milliseconds {
  const { now } = state.clocks;
  const limit = currentLimit(server.balancing, now);
  const inProgress = estimateInProgress(state, server);
  const tokens =
    countPendingTokens(state, server) + estimateUncachedTokens(pool, server, request, now);
  const expectedDelay =
    pool.firstTokenRegression.predict(tokens) * firstTokenTimeFactor(state, server, now);
  const loadedDelay =
    expectedDelay * (1 + FULL_SERVER_EXTRA_FRACTION_OF_DELAY * Math.min(1, inProgress / limit));
  const excessRequests = Math.max(0, inProgress + 1 - limit);
  const serviceTime = pool.estimateBusyServiceTime(route.name) * slotTimeFactor(state, server, now);
  const queueDelay = (excessRequests * serviceTime) / limit;
  return Math.max(loadedDelay, remainingReportedDelay(server, now)) + queueDelay;
}

/** The inputs of a prediction, for the log of a decision. */
export function describePrediction(
  state: EntryState,
  pool: PoolState,
  server: BackendServerState,
  { request }: RequestState,
): LogFields {
  const { now } = state.clocks;
  const { measuredAt } = server.balancing;
  const { instance, version } = server.platformInstance;
  const requestsPerSecond = state.rateLimits.at(instance);
  const restLeft = state.rests.remaining(instance, now);
  return {
    backendServer: instance,
    ...(version === undefined ? {} : { version }),
    promptTokens: request.promptTokens,
    uncachedTokens: Math.round(estimateUncachedTokens(pool, server, request, now)),
    pendingTokens: Math.round(countPendingTokens(state, server)),
    inProgress: estimateInProgress(state, server),
    limit: currentLimit(server.balancing, now),
    slowness: currentSlowness(server.balancing, now),
    ...describeSpeed(state, server),
    ...(measuredAt === undefined ? {} : { loadAge: now - measuredAt }),
    ...(requestsPerSecond === Infinity ? {} : { requestsPerSecond }),
    ...(restLeft === 0 ? {} : { restLeft }),
  };
}

/**
 * True if a predicted delay above `maxDelay` may be a reason to refuse a request. The prediction
 * must rest on recent samples or on the last load report: a pool that refuses everything gets no
 * samples, so a wrong prediction would never be corrected. Without a recent sample a request is
 * admitted to get one.
 */
export function isPredictionTrusted(
  pool: PoolState,
  server: BackendServerState,
  maxDelay: Milliseconds,
  now: MonotonicMilliseconds,
): boolean {
  return pool.firstTokenRegression.isTrusted(now) || remainingReportedDelay(server, now) > maxDelay;
}

/**
 * Predicts the time from sending a request to its first token at one backend server: prompts are
 * computed one after the other, so what counts is the tokens of this prompt and of those that were
 * sent there and have no first token yet, less what the prefix cache is believed to hold.
 */
import type { LogFields, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import type { PoolState } from './PoolState.js';
import { currentLimit, currentSlowness } from './BalancingState.js';

/** How much later a first token is on a full server than on an idle one. */
const FULL_SERVER_EXTRA_FRACTION_OF_DELAY = 0.5;

/** Tokens of the prompt that the server is believed to have to compute. */
export function estimateUncachedTokens(
  pool: PoolState,
  server: BackendServerState,
  request: CallerRequest,
  now: MonotonicMilliseconds,
): number {
  return request.promptTokens * (1 - pool.prefixCacheIndex.cachedFractionAt(server, request, now));
}

/** Tokens of prompts that all entries have sent there and that have no first token yet. */
export function countPendingTokens(state: EntryState, server: BackendServerState): number {
  return (
    countOwnPendingTokens(server) +
    state.peerWork.workAt(server.platformInstance.instance).promptTokens
  );
}

/** The same of this entry's own prompts. */
export function countOwnPendingTokens({ balancing }: BackendServerState): number {
  let tokens = 0;
  for (const pending of balancing.pendingPrompts.values()) tokens += pending.uncachedTokens;
  return tokens;
}

/**
 * Prompts that wait for each other inside an engine, by how long, before it counts as full. What
 * is sent early waits there in order of arrival, whatever its deadline and workspace; what is kept
 * here waits in the right order. All entries of the data centre together keep to it.
 */
const MAX_PENDING_PREFILL_MILLISECONDS: Milliseconds = 400;

/**
 * True if the prompts that are pending at the server leave no use for this one there. One whose
 * prefix the server has may wait longer by as much as it saves.
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
  const uncachedTokens = estimateUncachedTokens(pool, server, request, state.clocks.now);
  const savedTime = pool.firstTokenRegression.predictMarginalDelay(
    request.promptTokens - uncachedTokens,
  );
  const pendingTime = pool.firstTokenRegression.predictMarginalDelay(pendingTokens);
  return pendingTime > MAX_PENDING_PREFILL_MILLISECONDS + savedTime;
}

/** What is left of the wait that the server's last report predicted. */
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
    pool.firstTokenRegression.predict(tokens) * currentSlowness(server.balancing, now);
  const loadedDelay =
    expectedDelay * (1 + FULL_SERVER_EXTRA_FRACTION_OF_DELAY * Math.min(1, inProgress / limit));
  const excessRequests = Math.max(0, inProgress + 1 - limit);
  const queueDelay = (excessRequests * pool.estimateServiceTime(route.name)) / limit;
  return Math.max(loadedDelay, remainingReportedDelay(server, now)) + queueDelay;
}

/** What a prediction goes by, for the log of a decision. */
export function describePrediction(
  state: EntryState,
  pool: PoolState,
  server: BackendServerState,
  { request }: RequestState,
): LogFields {
  const { now } = state.clocks;
  const { measuredAt } = server.balancing;
  return {
    backendServer: server.platformInstance.instance,
    promptTokens: request.promptTokens,
    uncachedTokens: Math.round(estimateUncachedTokens(pool, server, request, now)),
    pendingTokens: Math.round(countPendingTokens(state, server)),
    inProgress: estimateInProgress(state, server),
    limit: currentLimit(server.balancing, now),
    slowness: currentSlowness(server.balancing, now),
    ...(measuredAt === undefined ? {} : { loadAge: now - measuredAt }),
  };
}

/**
 * True if a prediction above the caller's patience may be a reason to refuse. What was learnt must
 * be young, and more than a first belief, which may be several times too slow: a pool that refuses
 * everything learns nothing, and one slow moment would close it for good. So after a few seconds without a sample a request is let through to find out.
 */
export function isPredictionTrusted(
  pool: PoolState,
  server: BackendServerState,
  maxDelay: Milliseconds,
  now: MonotonicMilliseconds,
): boolean {
  return pool.firstTokenRegression.isTrusted(now) || remainingReportedDelay(server, now) > maxDelay;
}

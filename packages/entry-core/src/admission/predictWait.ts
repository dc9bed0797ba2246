/**
 * Predicts how long a request will be queued: the work ahead of it, divided by the number of slots
 * that backend servers have for this entry. While requests are queued, all these slots are in use,
 * so the entry's own requests in progress measure them, whatever limits the servers. Their recent
 * peak is used, because some servers may have capacity while requests wait for others.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { nextTokenDueAt } from '../backendServers/chooseBackendServer.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import { lastServedAt } from '../backendServers/nextTokenDueAt.js';
import type { EntryState } from '../EntryState.js';
import { sumAllowedRates } from '../statements/rateAllowance.js';
import { timeUntilRested } from '../statements/restAllowance.js';
import type { RequestState } from '../requests/RequestState.js';
import { getPoolQueue } from './AdmissionState.js';
import type { QueuedRequest } from './FairQueue.js';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * The fraction of a predicted wait that is ignored, because predictions are noisy and a request
 * that is ended too early is lost as well.
 */
export const PREDICTION_TOLERANCE = 0.25;

/**
 * Number of slots of backend servers that serve this entry while requests are queued. If all of them
 * name limits on requests per second, it is the number of slots that requests at the allowed rates
 * would keep busy, which may be less than one.
 */
export function estimateSlots(state: EntryState, pool: string): number {
  const poolState = getPoolState(state, pool);
  const { local, remote, peakInProgress } = poolState;
  // Bounded, because the peak may still include attempts at servers that are lost by now.
  const maxSlots = (local.limitSum + remote.limitSum) / state.limits.concurrencyLimiter.entryCount;
  const slots = Math.max(1, Math.min(peakInProgress.valueAt(state.clocks.now), maxSlots));
  const allowedRate = sumAllowedRates(state, [...local.candidates, ...remote.candidates]);
  if (allowedRate === Infinity) return slots;
  const busySlots = (allowedRate * poolState.meanBusyServiceTime) / MILLISECONDS_PER_SECOND;
  return Math.min(slots, busySlots);
}

export function makeQueuedRequest(state: EntryState, accepted: RequestState): QueuedRequest {
  const cost = getPoolState(state, accepted.pool.name).estimateBusyServiceTime(accepted.route.name);
  const dueAt = nextTokenDueAt(accepted);
  return { requestState: accepted, dueAt, expiresAt: expiryOf(accepted), cost };
}

/** Until when a queued request is of use to its caller. */
function expiryOf(accepted: RequestState): MonotonicMilliseconds {
  if (accepted.firstTokenAt !== undefined) return accepted.wholeAnswerDueAt;
  return accepted.isTakenUp === true ? lastServedAt(accepted) : nextTokenDueAt(accepted);
}

/** Predicted time until the request can be sent to a backend server. */
export function predictWait(state: EntryState, queued: QueuedRequest): Milliseconds {
  const pool = queued.requestState.pool.name;
  const ahead = getPoolQueue(state, pool).workAhead(queued);
  return timeUntilRested(state, pool) + (ahead + queued.cost) / estimateSlots(state, pool);
}

/**
 * Expected time from sending a request to its first token, at the server with the longest cached
 * prefix and without other prompts ahead. It is 0 while the estimate is not reliable, because
 * callers would otherwise be refused on a guess.
 */
export function expectedFirstTokenDelay(
  state: EntryState,
  { pool, request }: RequestState,
): Milliseconds {
  const { now } = state.clocks;
  const { prefixCacheIndex, firstTokenRegression } = getPoolState(state, pool.name);
  if (!firstTokenRegression.isTrusted(now)) return 0;
  const [holder] = prefixCacheIndex.findHolders(request, now);
  return firstTokenRegression.predict(request.promptTokens * (1 - (holder?.cachedFraction ?? 0)));
}

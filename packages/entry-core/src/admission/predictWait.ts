/**
 * Predicts how long a request waits in the queue: the work that is served before it, divided by
 * the places of backend servers that serve this entry. In a rush all places that this entry can use
 * are in use, so its own requests in progress count them, whatever keeps the servers from taking
 * more, be it their batch, their prompts or other entries. Their late peak is taken, since a
 * request may wait for one server while others have room.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import { nextTokenDueAt } from '../backendServers/chooseBackendServer.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { poolQueueOf } from './AdmissionState.js';
import type { QueuedRequest } from './FairQueue.js';

/** Places of backend servers that serve this entry while requests wait. */
export function estimateSlots(state: EntryState, pool: string): number {
  const { local, remote, peakInProgress } = getPoolState(state, pool);
  // Attempts at servers that are lost but not yet known to be are no places any more.
  const maxSlots = (local.limitSum + remote.limitSum) / state.limits.concurrencyLimiter.entryCount;
  return Math.max(1, Math.min(peakInProgress.valueAt(state.clocks.now), maxSlots));
}

export function makeQueuedRequest(state: EntryState, accepted: RequestState): QueuedRequest {
  const cost = getPoolState(state, accepted.pool.name).estimateServiceTime(accepted.route.name);
  const dueAt = nextTokenDueAt(accepted);
  const expiresAt = accepted.firstTokenAt === undefined ? dueAt : accepted.wholeAnswerDueAt;
  return { accepted, dueAt, expiresAt, cost };
}

/** Wait in the queue until a backend server can be given the request. */
export function predictWait(state: EntryState, queued: QueuedRequest): Milliseconds {
  const pool = queued.accepted.pool.name;
  const ahead = poolQueueOf(state, pool).workAhead(queued);
  return (ahead + queued.cost) / estimateSlots(state, pool);
}

/**
 * Time from being sent to the first token when no other prompt is in front, where most of the prompt
 * is cached. Until that is known none is counted on, or the first callers would be given up by guess.
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

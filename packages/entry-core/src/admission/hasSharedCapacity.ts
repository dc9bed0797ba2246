/**
 * Whether a request leaves free what is kept at a backend server: slots for more urgent priorities
 * while the pool is contended, and memory where the pools table states it.
 */
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { fitsMemory } from '../shares/engineMemory.js';
import { keptAt } from '../shares/keptSlots.js';
import { ageOfSums, hashServer } from '../shares/ShareState.js';
import { weightOfAge } from '../shares/weightOfAge.js';
import { countMemoryTokens } from './countMemoryTokens.js';

/** Slots of the server that the request has to leave free. */
function countKeptSlots(
  state: EntryState,
  { platformInstance }: BackendServerState,
  { route, firstTokenAt, isTakenUp }: RequestState,
  limit: number,
): number {
  const shares = state.shares.pools.get(platformInstance.pool);
  // A stream that resumes has been admitted, and its caller is reading.
  if (shares?.isContended !== true || firstTokenAt !== undefined || isTakenUp === true) return 0;
  const weight = weightOfAge(ageOfSums(state.shares, state.clocks.now));
  const perServer = (shares.priorities[route.priority]?.keptPerServer ?? 0) * weight;
  return perServer === 0
    ? 0
    : keptAt(perServer, limit, hashServer(state.shares, platformInstance.instance));
}

/** Mean tokens of a running request of the pool, by the sums or, without them, of this entry. */
function findMeanTokens(state: EntryState, pool: string, ownMean: number): number {
  const use = state.shares.received?.pools.get(pool);
  const running = use?.cells.reduce((sum, cell) => sum + cell.running, 0) ?? 0;
  return use === undefined || running === 0 ? ownMean : use.tokens / running;
}

function hasMemory(
  state: EntryState,
  { attemptIds, platformInstance }: BackendServerState,
  { request, pool }: RequestState,
  inProgress: number,
): boolean {
  const instanceClass = pool.instanceClasses.find(
    ({ name }) => name === platformInstance.instanceClass,
  );
  if (instanceClass?.memoryTokens === undefined || inProgress === 0) return true;
  let ownTokens = 0;
  attemptIds.forEach((attemptId) => {
    const running = state.requests.get(state.attempts.get(attemptId)?.requestId ?? '');
    if (running !== undefined) ownTokens += countMemoryTokens(running.request);
  });
  const ownMean = attemptIds.size === 0 ? countMemoryTokens(request) : ownTokens / attemptIds.size;
  return fitsMemory({
    capacity: instanceClass.memoryTokens,
    ownTokens,
    otherRequests: Math.max(0, inProgress - attemptIds.size),
    meanTokens: findMeanTokens(state, pool.name, ownMean),
    requestTokens: request.promptTokens + request.maxTokens,
  });
}

/**
 * @param limit - The concurrency limit of the server.
 * @param inProgress - Requests of all entries in progress there.
 */
export function hasSharedCapacity(
  state: EntryState,
  server: BackendServerState,
  accepted: RequestState,
  limit: number,
  inProgress: number,
): boolean {
  const kept = countKeptSlots(state, server, accepted, limit);
  if (kept > 0 && inProgress >= Math.max(1, Math.floor(limit) - kept)) return false;
  return hasMemory(state, server, accepted, inProgress);
}

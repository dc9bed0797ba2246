/**
 * Orders the queued requests that are tried on backend servers. If a server has just been freed,
 * the requests whose prompt prefix it has cached go before the others: under load it would
 * otherwise rarely get them, and caches would be evicted when they are needed most. This applies
 * only while the first request in the queue has enough time left. Streams that their callers take up
 * go before all others: those may use servers of any version, these only those of one. Fairness is
 * unaffected: their workspaces are charged as usual.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';
import { missesDeadlineAfter } from './failUnreachableDeadlines.js';
import type { QueuedRequest } from './FairQueue.js';
import type { PoolQueue } from './PoolQueue.js';

const MAX_CANDIDATES_PER_WORKSPACE = 8;
const MAX_CANDIDATES = 12;
const MIN_CACHED_FRACTION_OF_PROMPT = 0.3;
/** While less than this is left, the first request in the queue is not overtaken. */
const MIN_REMAINING_FRACTION_OF_TIME_TO_DEADLINE = 0.3;

function canWait(state: EntryState, first: QueuedRequest, now: MonotonicMilliseconds): boolean {
  const timeToDeadline = first.dueAt - first.requestState.arrivedAt;
  return !missesDeadlineAfter(
    state,
    first,
    timeToDeadline * MIN_REMAINING_FRACTION_OF_TIME_TO_DEADLINE,
    now,
  );
}

function countTakenUp({ requestState }: QueuedRequest): number {
  return requestState.isTakenUp === true ? 1 : 0;
}

export function orderQueueForServer(
  state: EntryState,
  queue: PoolQueue,
  freedServer: BackendServerState | undefined,
  now: MonotonicMilliseconds,
): readonly QueuedRequest[] {
  const candidates = [...queue.peekPerWorkspace(MAX_CANDIDATES_PER_WORKSPACE)].sort(
    (a, b) => countTakenUp(b) - countTakenUp(a) || a.dueAt - b.dueAt,
  );
  const [first] = candidates;
  if (first === undefined || freedServer === undefined || !canWait(state, first, now)) {
    return candidates.slice(0, MAX_CANDIDATES);
  }
  const { prefixCacheIndex } = getPoolState(state, first.requestState.pool.name);
  const isCached = ({ requestState }: QueuedRequest) =>
    prefixCacheIndex.cachedFractionAt(freedServer, requestState.request, now) >=
    MIN_CACHED_FRACTION_OF_PROMPT;
  const takenUp = candidates.filter((candidate) => countTakenUp(candidate) > 0);
  const others = candidates.filter((candidate) => countTakenUp(candidate) === 0);
  const [cached, rest] = [
    others.filter(isCached),
    others.filter((candidate) => !isCached(candidate)),
  ];
  return [...takenUp, ...cached, ...rest].slice(0, MAX_CANDIDATES);
}

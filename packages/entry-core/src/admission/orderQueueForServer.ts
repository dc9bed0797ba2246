/**
 * The waiting requests that a server with room may be given, in the order they are tried. That is
 * the queue's order, but for prompts whose prefix a server has that has just come free: in a rush
 * it would otherwise get whatever is first, seldom with a prompt it knows, so caches are lost just
 * when they are needed most. Those go first while the first in the queue can well wait one more
 * turn; their workspaces pay for it as for any other turn.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';
import { missesDeadlineAfter } from './failUnreachableDeadlines.js';
import type { QueuedRequest } from './FairQueue.js';
import type { PoolQueue } from './PoolQueue.js';

/** How many of each workspace are looked at, and of all. */
const MOST_OF_EACH = 8;
const MOST_TRIED = 12;
const LEAST_SHARE = 0.3;
/** The first request may be passed while so much of its patience is left. */
const PATIENCE_SHARE = 0.3;

function canWait(state: EntryState, first: QueuedRequest, now: MonotonicMilliseconds): boolean {
  const patience = first.dueAt - first.accepted.arrivedAt;
  return !missesDeadlineAfter(state, first, patience * PATIENCE_SHARE, now);
}

export function orderQueueForServer(
  state: EntryState,
  queue: PoolQueue,
  freed: BackendServerState | undefined,
  now: MonotonicMilliseconds,
): readonly QueuedRequest[] {
  const waiting = [...queue.peekPerWorkspace(MOST_OF_EACH)].sort((a, b) => a.dueAt - b.dueAt);
  const [first] = waiting;
  if (first === undefined || freed === undefined || !canWait(state, first, now)) {
    return waiting.slice(0, MOST_TRIED);
  }
  const { prefixCacheIndex: beliefs } = getPoolState(state, first.accepted.pool.name);
  const known = ({ accepted }: QueuedRequest) =>
    beliefs.cachedFractionAt(freed, accepted.request, now) >= LEAST_SHARE;
  const [fit, rest] = [waiting.filter(known), waiting.filter((one) => !known(one))];
  return [...fit, ...rest].slice(0, MOST_TRIED);
}

/**
 * Picks the waiting request that is served next. In a rush a server that comes free would get
 * whatever is first, seldom with a prompt it knows, so caches are lost just when they are needed
 * most. While the first request can well wait one more turn, one close behind it whose prompt
 * prefix the free server has goes first; workspaces pay for it as for any other turn.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { poolBalanceOf } from '../backendServers/poolBalanceOf.js';
import type { EntryState } from '../EntryState.js';
import { isLateAfter } from './dropUnreachable.js';
import type { Waiting } from './FairQueue.js';
import type { PoolQueue } from './PoolQueue.js';

/** How many of each workspace are looked at. */
const MOST_OF_EACH = 8;
const LEAST_SHARE = 0.3;
/** The first request may be passed while so much of its patience is left. */
const PATIENCE_SHARE = 0.3;

function canWait(state: EntryState, first: Waiting, now: MonotonicMilliseconds): boolean {
  const patience = first.dueAt - first.accepted.arrivedAt;
  return !isLateAfter(state, first, patience * PATIENCE_SHARE, now);
}

export function pickNext(
  state: EntryState,
  queue: PoolQueue,
  freed: BackendServerState | undefined,
  now: MonotonicMilliseconds,
): Waiting | undefined {
  const first = queue.peek();
  if (first === undefined || freed === undefined || !canWait(state, first, now)) return first;
  const { beliefs } = poolBalanceOf(state, first.accepted.pool.name);
  let best = first;
  let bestShare = LEAST_SHARE;
  for (const waiting of queue.peekFew(MOST_OF_EACH)) {
    const share = beliefs.shareAt(freed, waiting.accepted.request.prefixDigests, now);
    if (share > bestShare && !waiting.accepted.triedInstances.has(freed.listed.instance)) {
      best = waiting;
      bestShare = share;
    }
  }
  return best;
}

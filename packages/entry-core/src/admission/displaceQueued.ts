/**
 * Makes room in the queue of a contended pool for a more urgent request: the least urgent queued one
 * is refused instead of it.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import { getPoolQueue } from './AdmissionState.js';
import { scheduleRetry } from './applyShare.js';
import { assignRetryAfter } from './assignRetryAfter.js';
import type { QueuedRequest } from './FairQueue.js';
import { estimateSlots } from './predictWait.js';

/** A request that has been sent, or whose claim is open, is not given up. */
function canBeDisplaced({ requestState }: QueuedRequest): boolean {
  return requestState.attemptsStarted === 0 && requestState.maybeSent !== true;
}

function isLessUrgent(one: QueuedRequest, other: QueuedRequest): boolean {
  const difference = one.requestState.route.priority - other.requestState.route.priority;
  return difference === 0 ? one.dueAt >= other.dueAt : difference > 0;
}

/** The least urgent request in the queue, if it is less urgent than this one. */
export function findDisplaceable(
  state: EntryState,
  { pool, route }: RequestState,
): QueuedRequest | undefined {
  if (state.shares.pools.get(pool.name)?.isContended !== true) return undefined;
  let found: QueuedRequest | undefined;
  getPoolQueue(state, pool.name).waiting.forEach((queued) => {
    if (queued.requestState.route.priority <= route.priority || !canBeDisplaced(queued)) return;
    if (found === undefined || isLessUrgent(queued, found)) found = queued;
  });
  return found;
}

export function displaceQueued(
  state: EntryState,
  queued: QueuedRequest,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { requestState, cost } = queued;
  const { pool, request } = requestState;
  getPoolQueue(state, pool.name).remove(queued);
  const interval = cost / estimateSlots(state, pool.name);
  const key = `queue/${pool.name}/${request.workspace}`;
  return failRequest(
    state,
    requestState,
    'overloaded',
    'The queue is full, and a more urgent request takes the place',
    {
      retryAfterMilliseconds:
        scheduleRetry(state, requestState, now) ??
        assignRetryAfter(state, key, interval, interval, now),
    },
  );
}

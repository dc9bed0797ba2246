/**
 * Ends queued requests as soon as their deadline becomes unreachable, for example because backend
 * servers were lost or became slower. The queue is walked in the order of service, and a request
 * that is ended no longer counts towards the wait of those behind it.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { chooseBackendServer } from '../backendServers/chooseBackendServer.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { failRequest } from '../requests/endRequest.js';
import type { FairQueue, QueuedRequest, WorkspaceQueue } from './FairQueue.js';
import type { PoolQueue } from './PoolQueue.js';
import { estimateSlots, expectedFirstTokenDelay, PREDICTION_TOLERANCE } from './predictWait.js';
import { scheduleRetry } from './applyShare.js';
import { assignRetryAfter } from './assignRetryAfter.js';
import { removeAllEnded } from './removeEndedFromQueue.js';
import { canServeLate, requeueAsLate } from './serveLate.js';

/** Finds the requests with an unreachable deadline in the queue of one pool. */
class UnreachableDeadlineSearch {
  readonly found: QueuedRequest[] = [];

  private readonly slots: number;

  /**
   * While false, requests are queued only to wait for another server, such as one with their cache.
   */
  private areServersFull = false;

  constructor(
    private readonly state: EntryState,
    pool: string,
    private readonly now: MonotonicMilliseconds,
  ) {
    this.slots = estimateSlots(state, pool);
  }

  walk(queue: PoolQueue): void {
    const first = queue.peek();
    this.areServersFull =
      first !== undefined && chooseBackendServer(this.state, first.requestState) === undefined;
    let workBefore = 0;
    for (const level of queue.levels) {
      for (const workspace of level.backlogged) this.walkWorkspace(level, workspace, workBefore);
      workBefore += level.backlog;
    }
  }

  private walkWorkspace(
    level: FairQueue,
    { workspace, waiting }: WorkspaceQueue,
    workBefore: Milliseconds,
  ): void {
    let ownWork = 0;
    for (const queued of waiting) {
      const otherWork = level.workOfOtherWorkspaces(workspace, ownWork + queued.cost);
      const wait = (workBefore + ownWork + otherWork) / this.slots;
      if (this.isDeadlineUnreachable(queued, wait)) this.found.push(queued);
      else ownWork += queued.cost;
    }
  }

  private isDeadlineUnreachable(queued: QueuedRequest, wait: Milliseconds): boolean {
    const predicted = this.areServersFull ? wait * (1 - PREDICTION_TOLERANCE) : 0;
    return missesDeadlineAfter(this.state, queued, predicted, this.now);
  }
}

/** True if the request misses its deadline when it is sent after `wait`. */
export function missesDeadlineAfter(
  state: EntryState,
  { requestState, expiresAt }: QueuedRequest,
  wait: Milliseconds,
  now: MonotonicMilliseconds,
): boolean {
  return now + wait + expectedFirstTokenDelay(state, requestState) > expiresAt;
}

/** Ends a request that was removed from the queue because it cannot meet its deadline. */
export function failQueuedRequest(
  state: EntryState,
  { requestState, cost }: QueuedRequest,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { pool, request } = requestState;
  const interval = cost / estimateSlots(state, pool.name);
  const key = `queue/${pool.name}/${request.workspace}`;
  const retryAfterMilliseconds =
    scheduleRetry(state, requestState, now) ??
    assignRetryAfter(state, key, interval, interval, now);
  const detail = 'The deadline can no longer be met';
  const problem = { retryAfterMilliseconds };
  return failRequest(state, requestState, 'deadlineUnreachable', detail, problem);
}

/**
 * Queues a request that cannot meet its deadline for late service if that is useful, or ends it.
 */
export function serveLateOrFail(
  state: EntryState,
  queue: PoolQueue,
  queued: QueuedRequest,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  if (canServeLate(state, queued.requestState, now)) return requeueAsLate(state, queued);
  queue.remove(queued);
  return failQueuedRequest(state, queued, now);
}

export function failUnreachableDeadlines(
  state: EntryState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const effects: EntryEffect[] = [];
  for (const [pool, queue] of state.admission.queues) {
    // Requests that the same event has ended would be failed twice, and count as work ahead.
    removeAllEnded(state, queue);
    if (queue.size === 0) continue;
    const search = new UnreachableDeadlineSearch(state, pool, now);
    search.walk(queue);
    for (const queued of search.found) effects.push(...serveLateOrFail(state, queue, queued, now));
  }
  return effects;
}

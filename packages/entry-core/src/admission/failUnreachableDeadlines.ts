/**
 * Gives requests in the queue their final answer at the moment their deadline has become
 * unreachable, as when servers were lost or slowed down after they were accepted. They are walked
 * in the order they would be served; one that is given up no longer delays those behind it.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { chooseBackendServer } from '../backendServers/chooseBackendServer.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { failRequest } from '../requests/endRequest.js';
import type { FairQueue, QueuedRequest, WorkspaceQueue } from './FairQueue.js';
import type { PoolQueue } from './PoolQueue.js';
import { estimateSlots, expectedFirstTokenDelay } from './predictWait.js';
import { assignRetryAfter } from './assignRetryAfter.js';
import { canServeLate, requeueAsLate } from './serveLate.js';

/**
 * A predicted wait must miss the deadline by this share of the wait before it is acted on:
 * predictions are noisy, and a request given up too early is a loss too.
 */
const PREDICTION_TOLERANCE = 0.25;

/** Walks the queue of one pool. */
class UnreachableDeadlineSearch {
  readonly found: QueuedRequest[] = [];

  private readonly slots: number;

  /** False while a server has room: what waits then waits for another one by choice. */
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
      first !== undefined && chooseBackendServer(this.state, first.accepted) === undefined;
    let higherPriorityWork = 0;
    for (const level of queue.levels) {
      for (const workspace of level.backlogged)
        this.walkWorkspace(level, workspace, higherPriorityWork);
      higherPriorityWork += level.backlog;
    }
  }

  private walkWorkspace(
    level: FairQueue,
    { workspace, waiting }: WorkspaceQueue,
    higherPriorityWork: Milliseconds,
  ): void {
    let ownWork = 0;
    for (const queued of waiting) {
      const otherWork = level.workOfOtherWorkspaces(workspace, ownWork + queued.cost);
      const wait = (higherPriorityWork + ownWork + otherWork) / this.slots;
      if (this.isUnreachable(queued, wait)) this.found.push(queued);
      else ownWork += queued.cost;
    }
  }

  private isUnreachable(queued: QueuedRequest, wait: Milliseconds): boolean {
    const predicted = this.areServersFull ? wait * (1 - PREDICTION_TOLERANCE) : 0;
    return missesDeadlineAfter(this.state, queued, predicted, this.now);
  }
}

/** True if the deadline is missed when the request is sent after so long. */
export function missesDeadlineAfter(
  state: EntryState,
  { accepted, expiresAt }: QueuedRequest,
  wait: Milliseconds,
  now: MonotonicMilliseconds,
): boolean {
  return now + wait + expectedFirstTokenDelay(state, accepted) > expiresAt;
}

/** Ends a request that has left the queue because it would be late. */
export function failQueuedRequest(
  state: EntryState,
  { accepted, cost }: QueuedRequest,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { pool, request } = accepted;
  const interval = cost / estimateSlots(state, pool.name);
  const key = `queue/${pool.name}/${request.workspace}`;
  const retryAfterMilliseconds = assignRetryAfter(state, key, interval, interval, now);
  const ran = accepted.attemptsStarted === 0 ? 'no' : 'unknown';
  const detail = 'The deadline can no longer be met';
  const problem = { ran, retryAfterMilliseconds } as const;
  return failRequest(state, accepted, 'deadlineUnreachable', detail, problem);
}

/** Serves a request late that cannot be in time any more, or else gives it up. */
export function serveLateOrFail(
  state: EntryState,
  queue: PoolQueue,
  queued: QueuedRequest,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  if (canServeLate(state, queued.accepted, now)) return requeueAsLate(state, queued);
  queue.remove(queued);
  return failQueuedRequest(state, queued, now);
}

export function failUnreachableDeadlines(
  state: EntryState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const effects: EntryEffect[] = [];
  for (const [pool, queue] of state.admission.queues) {
    if (queue.size === 0) continue;
    const search = new UnreachableDeadlineSearch(state, pool, now);
    search.walk(queue);
    for (const queued of search.found) effects.push(...serveLateOrFail(state, queue, queued, now));
  }
  return effects;
}

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
class UnreachableSearch {
  readonly found: QueuedRequest[] = [];

  private readonly places: number;

  /** False while a server has room: what waits then waits for another one by choice. */
  private isBlocked = false;

  constructor(
    private readonly state: EntryState,
    pool: string,
    private readonly now: MonotonicMilliseconds,
  ) {
    this.places = estimateSlots(state, pool);
  }

  walk(queue: PoolQueue): void {
    const first = queue.peek();
    this.isBlocked =
      first !== undefined && chooseBackendServer(this.state, first.accepted) === undefined;
    let higher = 0;
    for (const level of queue.levels) {
      for (const workspace of level.backlogged) this.walkWorkspace(level, workspace, higher);
      higher += level.backlog;
    }
  }

  private walkWorkspace(
    level: FairQueue,
    { workspace, waiting }: WorkspaceQueue,
    higher: Milliseconds,
  ): void {
    let own = 0;
    for (const one of waiting) {
      const others = level.workOfOtherWorkspaces(workspace, own + one.cost);
      const wait = (higher + own + others) / this.places;
      if (this.isUnreachable(one, wait)) this.found.push(one);
      else own += one.cost;
    }
  }

  private isUnreachable(waiting: QueuedRequest, wait: Milliseconds): boolean {
    const predicted = this.isBlocked ? wait * (1 - PREDICTION_TOLERANCE) : 0;
    return missesDeadlineAfter(this.state, waiting, predicted, this.now);
  }
}

/** True if the deadline is missed when the request is sent after so long. */
export function missesDeadlineAfter(
  state: EntryState,
  { accepted, expiresAt: endsAt }: QueuedRequest,
  wait: Milliseconds,
  now: MonotonicMilliseconds,
): boolean {
  return now + wait + expectedFirstTokenDelay(state, accepted) > endsAt;
}

/** Ends a request that has left the queue because it would be late. */
export function giveUp(
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
  waiting: QueuedRequest,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  if (canServeLate(state, waiting.accepted, now)) return requeueAsLate(state, waiting);
  queue.remove(waiting);
  return giveUp(state, waiting, now);
}

export function failUnreachableDeadlines(
  state: EntryState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const effects: EntryEffect[] = [];
  for (const [pool, queue] of state.admission.queues) {
    if (queue.size === 0) continue;
    const search = new UnreachableSearch(state, pool, now);
    search.walk(queue);
    for (const waiting of search.found)
      effects.push(...serveLateOrFail(state, queue, waiting, now));
  }
  return effects;
}

/**
 * The requests of one pool and one priority that wait for a backend server: earliest deadline
 * first, as far as fair shares between workspaces allow. Each workspace has a virtual time, the
 * work it has been served so far; only workspaces within one quantum of the least served one may
 * be served next, and among these the earliest deadline wins. So a workspace that floods the
 * queue delays another by a quantum at most, and an urgent request passes a patient one as long as
 * its workspace has not had more than its share. A workspace that comes back from idleness starts
 * at the virtual time of the queue and has no claim on the past.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { RequestState } from '../requests/RequestState.js';

/** Workspaces may run ahead of the least served one by so many requests of usual cost. */
const QUANTUM_REQUESTS = 2;

/** One waiting request. */
export interface QueuedRequest {
  readonly accepted: RequestState;
  /** When its next token is due; the queue's order. */
  readonly dueAt: MonotonicMilliseconds;
  /** When an answer is of no more use: a stream that has begun outlasts a pause that is too long. */
  readonly expiresAt: MonotonicMilliseconds;
  /** How long it is expected to keep one place of a backend server busy. */
  readonly cost: Milliseconds;
}

/** What waits of one workspace. */
export interface WorkspaceQueue {
  readonly workspace: string;
  /** Earliest deadline first. */
  readonly waiting: QueuedRequest[];
  /** Sum of the costs of all that wait. */
  backlog: Milliseconds;
  /** Work that this workspace has been served, as far as it counts for fairness. */
  virtualTime: Milliseconds;
}

function findInsertionIndex(
  waiting: readonly QueuedRequest[],
  dueAt: MonotonicMilliseconds,
): number {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((waiting[middle]?.dueAt ?? 0) <= dueAt) low = middle + 1;
    else high = middle;
  }
  return low;
}

export class FairQueue {
  private readonly workspaces = new Map<string, WorkspaceQueue>();

  /** Virtual times of workspaces that wait for nothing now but have had more than others. */
  private readonly idleVirtualTimes = new Map<string, Milliseconds>();

  /** Virtual time of the least served workspace. */
  private virtualTime: Milliseconds = 0;

  get backlogged(): Iterable<WorkspaceQueue> {
    return this.workspaces.values();
  }

  get isEmpty(): boolean {
    return this.workspaces.size === 0;
  }

  get backlog(): Milliseconds {
    let backlog = 0;
    for (const queue of this.workspaces.values()) backlog += queue.backlog;
    return backlog;
  }

  workspaceQueue(workspace: string): WorkspaceQueue | undefined {
    return this.workspaces.get(workspace);
  }

  add(queued: QueuedRequest): void {
    const { workspace } = queued.accepted.request;
    const queue = this.workspaces.get(workspace) ?? {
      workspace,
      waiting: [],
      backlog: 0,
      virtualTime: this.startVirtualTimeOf(workspace),
    };
    queue.waiting.splice(findInsertionIndex(queue.waiting, queued.dueAt), 0, queued);
    queue.backlog += queued.cost;
    this.workspaces.set(workspace, queue);
  }

  /** Takes a request out without counting it as served. */
  remove(queued: QueuedRequest): void {
    const queue = this.workspaces.get(queued.accepted.request.workspace);
    const index = queue?.waiting.indexOf(queued) ?? -1;
    if (queue === undefined || index < 0) return;
    queue.waiting.splice(index, 1);
    queue.backlog -= queued.cost;
    if (queue.waiting.length === 0) this.recordIdle(queue);
  }

  /** The request to be served next. */
  peek(): QueuedRequest | undefined {
    let next: QueuedRequest | undefined;
    for (const { waiting } of this.eligibleWorkspaces()) {
      const [first] = waiting;
      if (first !== undefined && (next === undefined || first.dueAt < next.dueAt)) next = first;
    }
    return next;
  }

  /** The first few requests of each workspace that may be served next. */
  *peekPerWorkspace(maxPerWorkspace: number): Generator<QueuedRequest> {
    for (const { waiting } of this.eligibleWorkspaces()) yield* waiting.slice(0, maxPerWorkspace);
  }

  /** Takes a request out as served and charges its workspace. */
  serve(queued: QueuedRequest): void {
    const queue = this.workspaces.get(queued.accepted.request.workspace);
    if (queue === undefined) return;
    this.virtualTime = Math.max(this.virtualTime, this.findMinVirtualTime());
    queue.virtualTime += queued.cost;
    this.remove(queued);
  }

  /** Work that is served before this request, which may wait already or not yet. */
  workAhead({ accepted, dueAt, cost }: QueuedRequest): Milliseconds {
    const { workspace } = accepted.request;
    let ownWork = 0;
    for (const queued of this.workspaces.get(workspace)?.waiting ?? []) {
      if (queued.dueAt > dueAt) break;
      if (queued.accepted !== accepted) ownWork += queued.cost;
    }
    return ownWork + this.workOfOtherWorkspaces(workspace, ownWork + cost);
  }

  /** What others are served while this workspace is served `own`. */
  workOfOtherWorkspaces(workspace: string, ownWork: Milliseconds): Milliseconds {
    const virtualTime =
      this.workspaces.get(workspace)?.virtualTime ?? this.startVirtualTimeOf(workspace);
    let otherWork = 0;
    for (const queue of this.workspaces.values()) {
      if (queue.workspace !== workspace) {
        const lag = Math.max(0, virtualTime + ownWork - queue.virtualTime);
        otherWork += Math.min(queue.backlog, lag);
      }
    }
    return otherWork;
  }

  /** Workspaces that are not too far ahead of the least served one. */
  private *eligibleWorkspaces(): Generator<WorkspaceQueue> {
    const minVirtualTime = this.findMinVirtualTime();
    for (const queue of this.workspaces.values()) {
      const quantum = QUANTUM_REQUESTS * (queue.waiting[0]?.cost ?? 0);
      if (queue.virtualTime - minVirtualTime <= quantum) yield queue;
    }
  }

  private findMinVirtualTime(): Milliseconds {
    let min = Number.POSITIVE_INFINITY;
    for (const { virtualTime } of this.workspaces.values()) min = Math.min(min, virtualTime);
    return Number.isFinite(min) ? min : this.virtualTime;
  }

  /** The virtual time that an idle workspace would come back with. */
  private startVirtualTimeOf(workspace: string): Milliseconds {
    return Math.max(this.virtualTime, this.idleVirtualTimes.get(workspace) ?? 0);
  }

  private recordIdle({ workspace, virtualTime }: WorkspaceQueue): void {
    this.workspaces.delete(workspace);
    this.idleVirtualTimes.set(workspace, virtualTime);
    for (const [idle, idleVirtualTime] of this.idleVirtualTimes) {
      if (idleVirtualTime <= this.virtualTime) this.idleVirtualTimes.delete(idle);
    }
  }
}

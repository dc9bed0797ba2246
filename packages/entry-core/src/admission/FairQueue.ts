/**
 * A fair queue over workspaces for one pool and priority, with the earliest deadline first. The
 * virtual time of a workspace is the work it has been served. Only workspaces at most one quantum
 * ahead of the least served one are eligible, so one that floods the queue delays another by no
 * more than a quantum. A workspace does not earn credit while it is idle.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { RequestState } from '../requests/RequestState.js';

/** How far a workspace may be ahead of the least served one, in requests like its next one. */
const QUANTUM_REQUESTS = 2;

/** A request in the queue. */
export interface QueuedRequest {
  readonly requestState: RequestState;
  /** When its next token is due. The queue is ordered by it. */
  readonly dueAt: MonotonicMilliseconds;
  /** When an answer stops being useful. A started stream stays useful after a missed `dueAt`. */
  readonly expiresAt: MonotonicMilliseconds;
  /** How long it is expected to occupy one slot of a backend server. */
  readonly cost: Milliseconds;
}

/** The queued requests of one workspace. */
export interface WorkspaceQueue {
  readonly workspace: string;
  /** Earliest deadline first. */
  readonly waiting: QueuedRequest[];
  /** Sum of the costs of all queued requests. */
  backlog: Milliseconds;
  /** Work served to this workspace, as counted for fairness. */
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

  /** Virtual times of idle workspaces that are ahead of the queue's. */
  private readonly idleVirtualTimes = new Map<string, Milliseconds>();

  /** The highest virtual time that the least served workspace has had. */
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
    const { workspace } = queued.requestState.request;
    const queue = this.workspaces.get(workspace) ?? {
      workspace,
      waiting: [],
      backlog: 0,
      virtualTime: this.getStartVirtualTime(workspace),
    };
    queue.waiting.splice(findInsertionIndex(queue.waiting, queued.dueAt), 0, queued);
    queue.backlog += queued.cost;
    this.workspaces.set(workspace, queue);
  }

  /** Removes a request without charging its workspace. */
  remove(queued: QueuedRequest): void {
    const queue = this.workspaces.get(queued.requestState.request.workspace);
    const index = queue?.waiting.indexOf(queued) ?? -1;
    if (queue === undefined || index < 0) return;
    queue.waiting.splice(index, 1);
    queue.backlog -= queued.cost;
    if (queue.waiting.length === 0) this.recordIdle(queue);
  }

  /** The request to serve next. */
  peek(): QueuedRequest | undefined {
    let next: QueuedRequest | undefined;
    for (const { waiting } of this.eligibleWorkspaces()) {
      const [first] = waiting;
      if (first !== undefined && (next === undefined || first.dueAt < next.dueAt)) next = first;
    }
    return next;
  }

  /** The first requests of each eligible workspace. */
  *peekPerWorkspace(maxPerWorkspace: number): Generator<QueuedRequest> {
    for (const { waiting } of this.eligibleWorkspaces()) yield* waiting.slice(0, maxPerWorkspace);
  }

  /** Removes a request as served and charges its workspace. */
  serve(queued: QueuedRequest): void {
    const queue = this.workspaces.get(queued.requestState.request.workspace);
    if (queue === undefined) return;
    this.virtualTime = Math.max(this.virtualTime, this.findMinVirtualTime());
    queue.virtualTime += queued.cost;
    this.remove(queued);
  }

  /** Work that will be served before this request, whether it is queued already or not. */
  workAhead({ requestState, dueAt, cost }: QueuedRequest): Milliseconds {
    const { workspace } = requestState.request;
    let ownWork = 0;
    for (const queued of this.workspaces.get(workspace)?.waiting ?? []) {
      if (queued.dueAt > dueAt) break;
      if (queued.requestState !== requestState) ownWork += queued.cost;
    }
    return ownWork + this.workOfOtherWorkspaces(workspace, ownWork + cost);
  }

  /** Work of other workspaces that will be served while this one is served `ownWork`. */
  workOfOtherWorkspaces(workspace: string, ownWork: Milliseconds): Milliseconds {
    const virtualTime =
      this.workspaces.get(workspace)?.virtualTime ?? this.getStartVirtualTime(workspace);
    let otherWork = 0;
    for (const queue of this.workspaces.values()) {
      if (queue.workspace !== workspace) {
        const lag = Math.max(0, virtualTime + ownWork - queue.virtualTime);
        otherWork += Math.min(queue.backlog, lag);
      }
    }
    return otherWork;
  }

  /** Workspaces that are at most one quantum ahead of the least served one. */
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

  /** The virtual time at which an idle workspace resumes. */
  private getStartVirtualTime(workspace: string): Milliseconds {
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

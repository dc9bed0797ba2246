/**
 * The queue of one pool: a fair queue for each priority, and a last one for requests that will miss
 * their deadline. If those were ordered by deadline, they would be served first after an outage and
 * make the newer requests late too.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import { FairQueue, type QueuedRequest } from './FairQueue.js';

/** Priorities run from 0, the most urgent, to 9. */
const PRIORITY_COUNT = 10;

const LATE_LEVEL = PRIORITY_COUNT;

/** The index of the level a request belongs to; lower levels are served first. */
export function getLevelIndex({ requestState }: Pick<QueuedRequest, 'requestState'>): number {
  return requestState.isLate === true ? LATE_LEVEL : requestState.route.priority;
}

export class PoolQueue {
  readonly levels: readonly FairQueue[] = Array.from(
    { length: PRIORITY_COUNT + 1 },
    () => new FairQueue(),
  );

  /** Queued requests by request id. */
  readonly waiting = new Map<string, QueuedRequest>();

  get size(): number {
    return this.waiting.size;
  }

  add(queued: QueuedRequest): void {
    this.waiting.set(queued.requestState.request.requestId, queued);
    this.getLevel(queued)?.add(queued);
  }

  remove(queued: QueuedRequest): void {
    this.waiting.delete(queued.requestState.request.requestId);
    this.getLevel(queued)?.remove(queued);
  }

  serve(queued: QueuedRequest): void {
    this.waiting.delete(queued.requestState.request.requestId);
    this.getLevel(queued)?.serve(queued);
  }

  peek(): QueuedRequest | undefined {
    return this.levels.find((level) => !level.isEmpty)?.peek();
  }

  /** The first requests of each eligible workspace, at the most urgent level that is not empty. */
  peekPerWorkspace(maxPerWorkspace: number): Iterable<QueuedRequest> {
    return this.levels.find((level) => !level.isEmpty)?.peekPerWorkspace(maxPerWorkspace) ?? [];
  }

  /** Number of queued requests of one workspace, over all levels. */
  countForWorkspace(workspace: string): number {
    let count = 0;
    for (const level of this.levels) count += level.workspaceQueue(workspace)?.waiting.length ?? 0;
    return count;
  }

  /** Number of workspaces with queued requests. */
  countWorkspaces(): number {
    const names = new Set<string>();
    for (const level of this.levels) {
      for (const { workspace } of level.backlogged) names.add(workspace);
    }
    return names.size;
  }

  /** Work that will be served before this request. */
  workAhead(queued: QueuedRequest): Milliseconds {
    let ahead = this.getLevel(queued)?.workAhead(queued) ?? 0;
    for (const level of this.levels.slice(0, getLevelIndex(queued))) ahead += level.backlog;
    return ahead;
  }

  /** Number of queued requests that will be late. */
  get lateCount(): number {
    let count = 0;
    for (const { waiting } of this.levels[LATE_LEVEL]?.backlogged ?? []) count += waiting.length;
    return count;
  }

  private getLevel(queued: QueuedRequest): FairQueue | undefined {
    return this.levels[getLevelIndex(queued)];
  }
}

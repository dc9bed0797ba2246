/**
 * Everything that waits for the backend servers of one pool: one fair queue for each priority, and one
 * behind all of them for requests that will be late. Served by their deadlines those would go first,
 * after an outage, and everyone who has just come would be late as well.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import { FairQueue, type QueuedRequest } from './FairQueue.js';

/** 0 is served first, 9 last. */
const PRIORITY_COUNT = 10;

const LATE_LEVEL = PRIORITY_COUNT;

/** Levels with a lower number are served first. */
export function levelIndexOf({ accepted }: Pick<QueuedRequest, 'accepted'>): number {
  return accepted.isLate === true ? LATE_LEVEL : accepted.route.priority;
}

export class PoolQueue {
  readonly levels: readonly FairQueue[] = Array.from(
    { length: PRIORITY_COUNT + 1 },
    () => new FairQueue(),
  );

  /** Requests that wait, by request id. */
  readonly waiting = new Map<string, QueuedRequest>();

  get size(): number {
    return this.waiting.size;
  }

  add(queued: QueuedRequest): void {
    this.waiting.set(queued.accepted.request.requestId, queued);
    this.levelOf(queued)?.add(queued);
  }

  remove(queued: QueuedRequest): void {
    this.waiting.delete(queued.accepted.request.requestId);
    this.levelOf(queued)?.remove(queued);
  }

  serve(queued: QueuedRequest): void {
    this.waiting.delete(queued.accepted.request.requestId);
    this.levelOf(queued)?.serve(queued);
  }

  peek(): QueuedRequest | undefined {
    return this.levels.find((level) => !level.isEmpty)?.peek();
  }

  /** The first few requests of each workspace that may be served next. */
  peekPerWorkspace(maxPerWorkspace: number): Iterable<QueuedRequest> {
    return this.levels.find((level) => !level.isEmpty)?.peekPerWorkspace(maxPerWorkspace) ?? [];
  }

  /** Requests of one workspace that wait, over all priorities. */
  countForWorkspace(workspace: string): number {
    let count = 0;
    for (const level of this.levels) count += level.workspaceQueue(workspace)?.waiting.length ?? 0;
    return count;
  }

  /** Workspaces that have anything waiting. */
  countWorkspaces(): number {
    const names = new Set<string>();
    for (const level of this.levels) {
      for (const { workspace } of level.backlogged) names.add(workspace);
    }
    return names.size;
  }

  /** Work that is served before this request. */
  workAhead(queued: QueuedRequest): Milliseconds {
    let ahead = this.levelOf(queued)?.workAhead(queued) ?? 0;
    for (const level of this.levels.slice(0, levelIndexOf(queued))) ahead += level.backlog;
    return ahead;
  }

  /** Requests that wait although they will be late. */
  get lateCount(): number {
    let count = 0;
    for (const { waiting } of this.levels[LATE_LEVEL]?.backlogged ?? []) count += waiting.length;
    return count;
  }

  private levelOf(queued: QueuedRequest): FairQueue | undefined {
    return this.levels[levelIndexOf(queued)];
  }
}

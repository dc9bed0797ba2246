/**
 * Backend servers that are brittle: one that has to reject more than some requests in a second for want of
 * room falls over. Servers say so in all their answers, and entries tell each other. At such a time all
 * servers of a pool are brittle, so one that has not answered yet is taken for as brittle as the others:
 * a server that replaces another one is empty, and all entries would send to it before its first answer.
 */
import type {
  EpochMilliseconds,
  Milliseconds,
  MonotonicMilliseconds,
  PlatformInstance,
  StatedBrittleness,
} from '@hornbeampond/schema';
import type { Timestamps } from '../entryEvents.js';
import { NewestStatements } from './NewestStatements.js';

/** How long what a server has stated holds for its pool after it has left the list. */
const GONE_RETENTION_MILLISECONDS: Milliseconds = 60_000;

interface KnownInstance {
  readonly pool: string;
  lastListedAt: MonotonicMilliseconds;
}

/** A server and the pool that it serves in. */
export type PoolServer = Pick<PlatformInstance, 'instance' | 'pool'>;

function isInForce({ survivedRejections }: StatedBrittleness): boolean {
  return survivedRejections < Infinity;
}

export class ServerBrittleness {
  private readonly statements = new NewestStatements<StatedBrittleness>();

  /** Servers that are listed, and those that were when their last statement was in force. */
  private readonly knownInstances = new Map<string, KnownInstance>();

  /** The fewest rejections that a server of the pool survives, of pools with brittle servers. */
  private readonly fewestByPool = new Map<string, number>();

  /**
   * Rejections in a second that the server survives; infinite if it is not brittle. As of the other servers
   * of its pool, if it has stated nothing itself.
   */
  at(instance: string): number {
    return this.statements.get(instance)?.survivedRejections ?? this.fewestInPoolOf(instance);
  }

  /** When the newest statement of a server was read; undefined if it has made none. */
  statedAt(instance: string): EpochMilliseconds | undefined {
    return this.statements.get(instance)?.statedAt;
  }

  isBrittle(instance: string): boolean {
    return this.at(instance) < Infinity;
  }

  /** The servers that have said themselves that they are brittle. */
  get brittleInstances(): string[] {
    return this.listStatements().flatMap(([instance, stated]) =>
      isInForce(stated) ? [instance] : [],
    );
  }

  timeOfNext(instance: string, wallNow: EpochMilliseconds): EpochMilliseconds {
    return this.statements.timeOfNext(instance, wallNow);
  }

  /** Records a statement; returns the one that it replaces, or false if that one is not older. */
  record(instance: string, stated: StatedBrittleness): StatedBrittleness | undefined | false {
    const previous = this.statements.record(instance, stated);
    if (previous === false) return false;
    if (previous?.survivedRejections !== stated.survivedRejections) this.refreshPools();
    return previous;
  }

  /** What this entry knows, for its report to the others. */
  describe(): Readonly<Record<string, StatedBrittleness>> {
    return this.statements.describe();
  }

  /** Applies a list of all servers, and forgets those that left it long ago. */
  applyList(listed: Iterable<PoolServer>, { now, wallNow }: Timestamps): void {
    for (const { instance, pool } of listed) {
      this.knownInstances.set(instance, { pool, lastListedAt: now });
    }
    this.statements.retainOnly(
      (instance) => this.isKept(instance, now),
      (stated) => isInForce(stated) || this.fewestByPool.size > 0,
      wallNow,
    );
    this.knownInstances.forEach(({ lastListedAt }, instance) => {
      const isGone = lastListedAt < now && this.statements.get(instance) === undefined;
      if (isGone) this.knownInstances.delete(instance);
    });
    this.refreshPools();
  }

  private isKept(instance: string, now: MonotonicMilliseconds): boolean {
    const { lastListedAt = -Infinity } = this.knownInstances.get(instance) ?? {};
    return now - lastListedAt < GONE_RETENTION_MILLISECONDS;
  }

  private fewestInPoolOf(instance: string): number {
    if (this.fewestByPool.size === 0) return Infinity;
    const { pool = '' } = this.knownInstances.get(instance) ?? {};
    return this.fewestByPool.get(pool) ?? Infinity;
  }

  private listStatements(): [string, StatedBrittleness][] {
    return Object.entries(this.statements.describe());
  }

  private refreshPools(): void {
    this.fewestByPool.clear();
    this.listStatements().forEach(([instance, stated]) => {
      const { pool } = this.knownInstances.get(instance) ?? {};
      if (pool === undefined || !isInForce(stated)) return;
      const fewest = this.fewestByPool.get(pool) ?? Infinity;
      this.fewestByPool.set(pool, Math.min(fewest, stated.survivedRejections));
    });
  }
}

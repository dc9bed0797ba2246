/**
 * Which software versions the backend servers of each pool have had, and since when that is known. An
 * entry whose caller asks for the rest of a stream of unknown origin may use it only if a single version
 * can have begun it. Entries that start adopt what a store has recorded: their own first list does not
 * show a version whose servers left while no entry ran.
 */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '../units.js';
import type { PlatformInstance } from './backendServers.js';

/** Undefined if the platform does not state the version of a server. */
export type ServerVersion = string | undefined;

/** The versions of the listed servers, by pool. */
export type VersionsByPool = ReadonlyMap<string, ReadonlySet<ServerVersion>>;

/** One version that servers of a pool had. */
export interface VersionRecord {
  readonly version?: string | undefined;
  /** Time since servers of the version may last have begun a stream. */
  readonly age: Milliseconds;
  /** True if the last list that held servers of the pool had some of this version. */
  readonly isListed: boolean;
}

/** What a process has recorded, with times as ages, since clocks of processes differ. */
export interface VersionHistoryMessage {
  /** All lists of this time are included. */
  readonly knownFor: Milliseconds;
  readonly lastListAge: Milliseconds;
  readonly pools: Readonly<Record<string, readonly VersionRecord[]>>;
}

/**
 * Without lists for longer than this, a version may have come, begun streams and gone unseen. Lists arrive
 * each second, and at most 2.5 s apart while one poll fails.
 */
export const MAX_LIST_GAP_MILLISECONDS: Milliseconds = 3000;

/**
 * The same between the last list that an earlier process has recorded and the first one of a process that
 * starts: restarts of all processes take less, and while none runs no stream begins.
 */
export const MAX_RESTART_GAP_MILLISECONDS: Milliseconds = 10_000;

/** How a history comes to a process that adopts it. */
export interface HistoryOrigin {
  /** When this process asked for it: how long the answer was under way is not known. */
  readonly askedAt: MonotonicMilliseconds;
  /** True if this process starts, and the history tells of the time before. */
  readonly isStarting: boolean;
}

/** Of one pool; more are in use within the time of a stream only if each release lasts seconds. */
const MAX_VERSIONS = 16;

interface PoolHistory {
  /** Until when servers of each version may have begun streams, as far as lists were received. */
  readonly lastUsedAt: Map<ServerVersion, MonotonicMilliseconds>;
  /** The versions of the last list that held servers of the pool. */
  listed: ReadonlySet<ServerVersion>;
  /** Versions that were last used before this are no longer recorded. */
  completeSince: MonotonicMilliseconds;
}

export class VersionHistory {
  private readonly pools = new Map<string, PoolHistory>();

  private knownSince: MonotonicMilliseconds = Infinity;

  private lastListAt: MonotonicMilliseconds | undefined;

  /** Undefined if the last list is one that an earlier process has recorded. */
  private lastListWallAt: EpochMilliseconds | undefined;

  /** Records a list of the platform. */
  recordList(
    versionsByPool: VersionsByPool,
    now: MonotonicMilliseconds,
    wallNow: EpochMilliseconds,
  ): void {
    const maxGap =
      this.lastListWallAt === undefined ? MAX_RESTART_GAP_MILLISECONDS : MAX_LIST_GAP_MILLISECONDS;
    if (this.timeSinceLastList(now, wallNow) > maxGap) this.knownSince = now;
    this.lastListAt = now;
    this.lastListWallAt = wallNow;
    versionsByPool.forEach((versions, name) => {
      const pool = this.getPool(name);
      // A version that is listed no more may have begun streams until this list.
      [...pool.listed, ...versions].forEach((version) => pool.lastUsedAt.set(version, now));
      pool.listed = versions;
      VersionHistory.limit(pool);
    });
  }

  /** Adds what another process has recorded. */
  adopt(
    message: VersionHistoryMessage,
    now: MonotonicMilliseconds,
    { askedAt, isStarting }: HistoryOrigin,
  ): void {
    const knownSince = now - message.knownFor;
    const lastListAt = askedAt - message.lastListAge;
    const maxGap = isStarting ? MAX_RESTART_GAP_MILLISECONDS : MAX_LIST_GAP_MILLISECONDS;
    const listedUntil = this.findListedUntil(now - message.lastListAge, now);
    if (this.lastListAt === undefined) {
      this.knownSince = knownSince;
      this.lastListAt = lastListAt;
    } else if (this.knownSince - lastListAt <= maxGap) {
      this.knownSince = Math.min(this.knownSince, knownSince);
    }
    Object.entries(message.pools).forEach(([name, records]) => {
      const pool = this.getPool(name);
      records.forEach(({ version, age, isListed }) => {
        const lastUsedAt = isListed ? listedUntil : now - age;
        const known = pool.lastUsedAt.get(version) ?? -Infinity;
        pool.lastUsedAt.set(version, Math.max(known, lastUsedAt));
      });
      if (pool.listed.size === 0) pool.listed = listVersionsOf(records);
      VersionHistory.limit(pool);
    });
  }

  /** Undefined before the first list. */
  toMessage(
    now: MonotonicMilliseconds,
    wallNow: EpochMilliseconds,
  ): VersionHistoryMessage | undefined {
    if (this.lastListAt === undefined) return undefined;
    const pools = [...this.pools].map(([name, { lastUsedAt, listed }]) => {
      const records = [...lastUsedAt].map(([version, usedAt]): VersionRecord => ({
        ...(version === undefined ? {} : { version }),
        age: now - usedAt,
        isListed: listed.has(version),
      }));
      return [name, records] as const;
    });
    const completeSince = [...this.pools.values()].map((pool) => pool.completeSince);
    return {
      knownFor: now - Math.max(this.knownSince, ...completeSince),
      lastListAge: this.timeSinceLastList(now, wallNow),
      pools: Object.fromEntries(pools),
    };
  }

  /** True if each version is recorded that servers of the pool had at or after `since`. */
  isComplete(pool: string, since: MonotonicMilliseconds): boolean {
    const completeSince = this.pools.get(pool)?.completeSince ?? -Infinity;
    return Math.max(this.knownSince, completeSince) <= since;
  }

  /** The versions that servers of the pool have, or had at or after `since`. */
  listVersions(pool: string, since: MonotonicMilliseconds): Set<ServerVersion> {
    const { lastUsedAt, listed } = this.pools.get(pool) ?? {};
    const used = [...(lastUsedAt ?? [])].filter(([, usedAt]) => usedAt >= since);
    return new Set([...(listed ?? []), ...used.map(([version]) => version)]);
  }

  /**
   * Until when versions may have begun streams that another process had on its last list: the lists of
   * this process that are newer say so.
   */
  private findListedUntil(
    otherLastListAt: MonotonicMilliseconds,
    now: MonotonicMilliseconds,
  ): MonotonicMilliseconds {
    const { lastListAt } = this;
    const isNewer = lastListAt === undefined || otherLastListAt > lastListAt;
    return isNewer ? now : Math.max(this.knownSince, otherLastListAt);
  }

  /** The monotonic clock does not count the time in which the machine was suspended. */
  private timeSinceLastList(now: MonotonicMilliseconds, wallNow: EpochMilliseconds): Milliseconds {
    const { lastListAt = -Infinity, lastListWallAt = wallNow } = this;
    return Math.max(now - lastListAt, wallNow - lastListWallAt);
  }

  private getPool(name: string): PoolHistory {
    const existing = this.pools.get(name);
    if (existing !== undefined) return existing;
    const pool = {
      lastUsedAt: new Map<ServerVersion, MonotonicMilliseconds>(),
      listed: new Set<ServerVersion>(),
      completeSince: -Infinity,
    };
    this.pools.set(name, pool);
    return pool;
  }

  private static limit(pool: PoolHistory): void {
    if (pool.lastUsedAt.size <= MAX_VERSIONS) return;
    const byAge = [...pool.lastUsedAt].sort(([, a], [, b]) => b - a);
    byAge.slice(MAX_VERSIONS).forEach(([version, usedAt]) => {
      pool.lastUsedAt.delete(version);
      pool.completeSince = Math.max(pool.completeSince, usedAt + 1);
    });
  }
}

/** The versions of the listed servers, by pool. */
export function groupVersions(
  instances: readonly Pick<PlatformInstance, 'pool' | 'version'>[],
): Map<string, Set<ServerVersion>> {
  const versionsByPool = new Map<string, Set<ServerVersion>>();
  instances.forEach(({ pool, version }) => {
    const versions = versionsByPool.get(pool);
    if (versions === undefined) versionsByPool.set(pool, new Set([version]));
    else versions.add(version);
  });
  return versionsByPool;
}

/** The same history some time later, during which no list was received. */
export function ageHistory(
  { knownFor, lastListAge, pools }: VersionHistoryMessage,
  elapsed: Milliseconds,
): VersionHistoryMessage {
  const agedPools = Object.entries(pools).map(([name, records]) => {
    const aged = records.map((record) => ({ ...record, age: record.age + elapsed }));
    return [name, aged] as const;
  });
  return {
    knownFor: knownFor + elapsed,
    lastListAge: lastListAge + elapsed,
    pools: Object.fromEntries(agedPools),
  };
}

function listVersionsOf(records: readonly VersionRecord[]): Set<ServerVersion> {
  return new Set(records.filter(({ isListed }) => isListed).map(({ version }) => version));
}

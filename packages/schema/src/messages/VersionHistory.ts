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
 * Without lists for longer than this, a version may have come, begun streams and gone unseen: servers are
 * listed for seconds before and while they serve. Restarts of all processes take less.
 */
export const MAX_LIST_GAP_MILLISECONDS: Milliseconds = 10_000;

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

  /** Undefined if the last list is one that was adopted. */
  private lastListWallAt: EpochMilliseconds | undefined;

  /** @param maxListGap - Without lists for longer than this, the versions before are not complete. */
  constructor(private readonly maxListGap: Milliseconds = MAX_LIST_GAP_MILLISECONDS) {}

  /** Records a list of the platform. */
  recordList(
    versionsByPool: VersionsByPool,
    now: MonotonicMilliseconds,
    wallNow: EpochMilliseconds,
  ): void {
    if (this.timeSinceLastList(now, wallNow) > this.maxListGap) this.knownSince = now;
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
  adopt(message: VersionHistoryMessage, now: MonotonicMilliseconds): void {
    const knownSince = now - message.knownFor;
    const lastListAt = now - message.lastListAge;
    if (this.lastListAt === undefined) {
      this.knownSince = knownSince;
      this.lastListAt = lastListAt;
    } else if (this.knownSince - lastListAt <= MAX_LIST_GAP_MILLISECONDS) {
      this.knownSince = Math.min(this.knownSince, knownSince);
    }
    Object.entries(message.pools).forEach(([name, records]) => {
      const pool = this.getPool(name);
      records.forEach(({ version, age, isListed }) => {
        const lastUsedAt = isListed ? now : now - age;
        const known = pool.lastUsedAt.get(version) ?? -Infinity;
        pool.lastUsedAt.set(version, Math.max(known, lastUsedAt));
      });
      if (pool.listed.size === 0) pool.listed = listVersionsOf(records);
      VersionHistory.limit(pool);
    });
  }

  /** Undefined before the first list. */
  toMessage(now: MonotonicMilliseconds): VersionHistoryMessage | undefined {
    if (this.lastListAt === undefined) return undefined;
    const pools = [...this.pools].map(([name, { lastUsedAt, listed }]) => {
      const records = [...lastUsedAt].map(([version, usedAt]): VersionRecord => ({
        ...(version === undefined ? {} : { version }),
        age: now - usedAt,
        isListed: listed.has(version),
      }));
      return [name, records] as const;
    });
    return {
      knownFor: now - this.knownSince,
      lastListAge: now - this.lastListAt,
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

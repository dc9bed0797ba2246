/**
 * The listed backend servers of each pool by the version of their software, rebuilt with each list of
 * instances, so that the servers on which a stream may go on are found without a search of the pool.
 */
import {
  VersionHistory,
  type LogFields,
  type MonotonicMilliseconds,
  type ServerVersion,
  type VersionHistoryMessage,
} from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { Timestamps } from '../entryEvents.js';

/** Servers whose version the platform does not state are kept under `undefined`. */
type InstancesByVersion = Map<ServerVersion, string[]>;

const NO_INSTANCES: readonly string[] = [];

export class VersionIndex {
  private pools = new Map<string, InstancesByVersion>();

  private lastUpdatedAt: MonotonicMilliseconds = -Infinity;

  /** When this entry asked for the newest list that it has read itself. */
  private readAt: MonotonicMilliseconds = -Infinity;

  /** True once a store has said which versions there were before this entry started. */
  private hasAdopted = false;

  private readonly history = new VersionHistory();

  /**
   * @param readAt - When this entry asked for the list; undefined if another process has read it, since
   *   it may have waited anywhere on its way.
   */
  update(
    servers: Iterable<BackendServerState>,
    { now, wallNow }: Timestamps,
    readAt: MonotonicMilliseconds = -Infinity,
  ): void {
    this.pools = new Map();
    this.lastUpdatedAt = now;
    this.readAt = Math.max(this.readAt, readAt);
    for (const { platformInstance } of servers) {
      const { pool, version, instance } = platformInstance;
      const byVersion: InstancesByVersion = this.pools.get(pool) ?? new Map();
      this.pools.set(pool, byVersion);
      const instances = byVersion.get(version);
      if (instances === undefined) byVersion.set(version, [instance]);
      else instances.push(instance);
    }
    const versions = [...this.pools].map(
      ([pool, byVersion]) => [pool, new Set(byVersion.keys())] as const,
    );
    this.history.recordList(new Map(versions), now, wallNow);
  }

  /**
   * Adds the versions that a store has recorded, at first also from before this entry started.
   *
   * @param askedAt - When the store was asked for them.
   */
  adoptHistory(
    history: VersionHistoryMessage,
    now: MonotonicMilliseconds,
    askedAt: MonotonicMilliseconds,
  ): void {
    this.history.adopt(history, now, { askedAt, isStarting: !this.hasAdopted });
    this.hasAdopted = true;
  }

  /** True if this entry has read a list that it asked for at or after `since`. */
  isReadSince(since: MonotonicMilliseconds): boolean {
    return this.readAt >= since;
  }

  /** False if the platform states no version for any server that the pool has had. */
  mayBeStated(pool: string): boolean {
    const versions = this.history.listVersions(pool, -Infinity);
    return versions.size === 0 || [...versions].some((version) => version !== undefined);
  }

  /** True if the pool has had no servers since then, so that none has begun a stream. */
  isUnusedSince(pool: string, since: MonotonicMilliseconds): boolean {
    const { history } = this;
    return history.isComplete(pool, since) && history.listVersions(pool, since).size === 0;
  }

  /** True if the listed servers of the pool are of several versions, or some of an unknown one. */
  hasSeveral(pool: string): boolean {
    return (this.pools.get(pool)?.size ?? 0) > 1;
  }

  /**
   * The only version that can have begun a stream of the pool at or after `since`; undefined if there may
   * be another one.
   */
  findOnlyVersion(pool: string, since: MonotonicMilliseconds): ServerVersion {
    if (!this.history.isComplete(pool, since)) return undefined;
    const [version, ...others] = this.history.listVersions(pool, since);
    return others.length === 0 ? version : undefined;
  }

  /** On what the answer of `findOnlyVersion` is based, for a log line. */
  describeVersions(
    pool: string,
    since: MonotonicMilliseconds,
    now: MonotonicMilliseconds,
  ): LogFields {
    const versions = [...this.history.listVersions(pool, since)];
    return {
      pool,
      versions: versions.map((version) => version ?? '?').join(' '),
      areVersionsComplete: this.history.isComplete(pool, since),
      listAge: Math.round(now - this.lastUpdatedAt),
    };
  }

  /** The listed servers of the pool that have this version. */
  listInstances(pool: string, version: ServerVersion): readonly string[] {
    return this.pools.get(pool)?.get(version) ?? NO_INSTANCES;
  }

  /** The listed servers of the pool that have another version or an unknown one. */
  listOthers(pool: string, version: ServerVersion): Set<string> {
    const others = new Set<string>();
    this.pools.get(pool)?.forEach((instances, listed) => {
      if (listed !== version) instances.forEach((instance) => others.add(instance));
    });
    return others;
  }
}

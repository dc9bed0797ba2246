/**
 * Limits requests in progress per route and workspace over all entries of a data centre, without a
 * message per request: each entry counts its own, takes the counts of its peers from their last
 * reports, and may add an equal share of the free capacity once per reporting interval. With limit
 * L and n entries, at most L + n - 1 requests are in progress, and at most 2 L + n while reports
 * are in transit or peers are unreachable but not yet expired. The excess of n - 1 comes from rounding
 * shares up, without which a limit below n would admit nobody. ConcurrencyLimiter.test.ts checks
 * these bounds.
 */
import type { EntryReport, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/**
 * A peer not seen for this long is assumed to use at least an equal share of the limit, so that
 * partitioned entries fall back to equal shares.
 */
export const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 3000;

/**
 * A peer not seen for this long is removed. If it is partitioned but still running, each side then
 * has the whole limit.
 */
export const PEER_EXPIRY_MILLISECONDS: Milliseconds = 60_000;

/** The last report of a peer, and when it was received. */
interface Peer {
  readonly report: EntryReport;
  readonly lastSeenAt: MonotonicMilliseconds;
}

/** Own requests in progress under one key. */
interface OwnCount {
  readonly requestIds: Set<string>;
  /** Lowest count since the start of the reporting interval. */
  minCount: number;
}

export class ConcurrencyLimiter {
  private readonly ownCounts = new Map<string, OwnCount>();

  private readonly peers = new Map<string, Peer>();

  /** Peers that are not leaving. */
  private activePeerCount = 0;

  /** Peers whose report was received in this reporting interval. */
  private readonly seenPeers = new Set<string>();

  acquire(key: string, requestId: string): void {
    const count = this.ownCounts.get(key) ?? { requestIds: new Set(), minCount: 0 };
    count.requestIds.add(requestId);
    this.ownCounts.set(key, count);
  }

  release(key: string, requestId: string): void {
    const count = this.ownCounts.get(key);
    if (count === undefined) return;
    count.requestIds.delete(requestId);
    count.minCount = Math.min(count.minCount, count.requestIds.size);
    if (count.requestIds.size === 0) this.ownCounts.delete(key);
  }

  ownInProgress(key: string): number {
    return this.ownCounts.get(key)?.requestIds.size ?? 0;
  }

  /** Own requests in progress by key, for this entry's report to its peers. */
  countOwnByKey(): Record<string, number> {
    return Object.fromEntries(
      [...this.ownCounts].map(([key, { requestIds }]) => [key, requestIds.size]),
    );
  }

  /** Handles the report of another entry of the same data centre; an outdated one is ignored. */
  receive(report: EntryReport, now: MonotonicMilliseconds): void {
    const previous = this.peers.get(report.instance)?.report;
    if (previous !== undefined) {
      const difference =
        report.incarnation - previous.incarnation || report.sequence - previous.sequence;
      if (difference <= 0) return;
    }
    this.peers.set(report.instance, { report, lastSeenAt: now });
    this.seenPeers.add(report.instance);
    this.updateActivePeerCount();
    this.startIntervalIfAllReported(now);
  }

  /** Entries that share the limits: this one and its peers that are not leaving. */
  get entryCount(): number {
    return 1 + this.activePeerCount;
  }

  /**
   * True if this entry may take one more request under this key. Its count may exceed its lowest
   * count in the reporting interval by an equal share of the capacity that was free at that count.
   * The share is rounded up: rounded down, a limit below the number of entries would admit nothing.
   */
  hasCapacity(key: string, limit: number, now: MonotonicMilliseconds): boolean {
    const { entryCount } = this;
    const own = this.ownCounts.get(key);
    const minCount = own?.minCount ?? 0;
    const free = limit - this.countInProgressAtPeers(key, limit, now) - minCount;
    return (own?.requestIds.size ?? 0) < minCount + Math.ceil(Math.max(0, free) / entryCount);
  }

  removeExpiredPeers(now: MonotonicMilliseconds): void {
    for (const [instance, peer] of this.peers) {
      if (now - peer.lastSeenAt > PEER_EXPIRY_MILLISECONDS) {
        this.peers.delete(instance);
        this.seenPeers.delete(instance);
      }
    }
    this.updateActivePeerCount();
    this.startIntervalIfAllReported(now);
  }

  private updateActivePeerCount(): void {
    this.activePeerCount = 0;
    for (const { report } of this.peers.values()) if (!report.leaving) this.activePeerCount += 1;
  }

  private countInProgressAtPeers(key: string, limit: number, now: MonotonicMilliseconds): number {
    let inProgress = 0;
    for (const { report, lastSeenAt } of this.peers.values()) {
      const reported = report.inProgress[key] ?? 0;
      const sinceLastSeen = now - lastSeenAt;
      const isUnreachable = sinceLastSeen > PEER_TIMEOUT_MILLISECONDS && !report.leaving;
      inProgress += isUnreachable ? Math.max(reported, limit / this.entryCount) : reported;
    }
    return inProgress;
  }

  /** Starts a new reporting interval if every reachable peer has reported in the current one. */
  private startIntervalIfAllReported(now: MonotonicMilliseconds): void {
    for (const [instance, { lastSeenAt }] of this.peers) {
      if (now - lastSeenAt <= PEER_TIMEOUT_MILLISECONDS && !this.seenPeers.has(instance)) return;
    }
    this.seenPeers.clear();
    for (const own of this.ownCounts.values()) own.minCount = own.requestIds.size;
  }
}

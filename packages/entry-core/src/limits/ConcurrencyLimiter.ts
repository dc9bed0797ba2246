/**
 * Holds the limits of requests in progress per route and workspace over all entries of a data
 * centre, without a message per request: each entry knows its own count exactly and its peers'
 * from their last reports, and divides what is still free among the entries.
 *
 * The rule: with a limit L, n entries in contact, p the requests in progress at peers by their
 * last reports, and b the lowest own count since every peer in contact was last heard, an entry
 * may have at most `b + ceil((L - p - b) / n)` in progress. Each of them may so take its part of
 * the free room once per round of reports, although none sees what the others take meanwhile.
 *
 * The bound on the sum over all entries, tested in LimitLedger.test.ts:
 * - entries in contact: L + n - 1 (the rounding up, without which a limit below n admits nobody),
 *   plus what one round of reports that crossed each other lets through, at most L;
 * - a peer not heard for SILENT_MILLISECONDS counts with what it last said, yet never with less
 *   than its equal part of L, so that cut-off entries fall back to L / n each: the sum stays
 *   within 2 L + n, and within L + n once the requests of before the cut have ended;
 * - a peer not heard for FORGOTTEN_MILLISECONDS counts as gone. If it is not, each side of the
 *   cut has L for itself; so has an entry that has just started, until it hears a peer.
 */
import type { EntryReport, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

export const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 3000;
export const PEER_EXPIRY_MILLISECONDS: Milliseconds = 60_000;

/** What a peer said last, and when it was heard. */
interface Peer {
  readonly report: EntryReport;
  readonly lastSeenAt: MonotonicMilliseconds;
}

/** Own requests in progress under one key. */
interface OwnCount {
  readonly requestIds: Set<string>;
  /** Lowest count since every peer in contact was heard. */
  minCount: number;
}

export class ConcurrencyLimiter {
  private readonly ownCounts = new Map<string, OwnCount>();

  private readonly peers = new Map<string, Peer>();

  private activePeerCount = 0;

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

  /** Takes in the report of another entry of the own data centre. */
  receive(report: EntryReport, now: MonotonicMilliseconds): void {
    const previous = this.peers.get(report.instance)?.report;
    if (previous !== undefined) {
      const age = report.incarnation - previous.incarnation || report.sequence - previous.sequence;
      if (age <= 0) return;
    }
    this.peers.set(report.instance, { report, lastSeenAt: now });
    this.seenPeers.add(report.instance);
    this.countActivePeers();
    this.endReportingInterval(now);
  }

  /** Entries that share the limits: this one and its peers that are not leaving. */
  get entryCount(): number {
    return 1 + this.activePeerCount;
  }

  /** True if one more request under this key is within this entry's part of the limit. */
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
    this.countActivePeers();
    this.endReportingInterval(now);
  }

  private countActivePeers(): void {
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

  /** Once every peer in contact was heard, what this entry took is known to be known. */
  private endReportingInterval(now: MonotonicMilliseconds): void {
    for (const [instance, { lastSeenAt }] of this.peers) {
      if (now - lastSeenAt <= PEER_TIMEOUT_MILLISECONDS && !this.seenPeers.has(instance)) return;
    }
    this.seenPeers.clear();
    for (const own of this.ownCounts.values()) own.minCount = own.requestIds.size;
  }
}

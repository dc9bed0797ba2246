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
  readonly heardAt: MonotonicMilliseconds;
}

/** Own requests in progress under one key. */
interface OwnCount {
  readonly requestIds: Set<string>;
  /** Lowest count since every peer in contact was heard. */
  lowest: number;
}

export class ConcurrencyLimiter {
  private readonly own = new Map<string, OwnCount>();

  private readonly peers = new Map<string, Peer>();

  private stayingPeers = 0;

  private readonly heardInRound = new Set<string>();

  acquire(key: string, requestId: string): void {
    const known = this.own.get(key) ?? { requestIds: new Set(), lowest: 0 };
    known.requestIds.add(requestId);
    this.own.set(key, known);
  }

  release(key: string, requestId: string): void {
    const known = this.own.get(key);
    if (known === undefined) return;
    known.requestIds.delete(requestId);
    known.lowest = Math.min(known.lowest, known.requestIds.size);
    if (known.requestIds.size === 0) this.own.delete(key);
  }

  ownInProgress(key: string): number {
    return this.own.get(key)?.requestIds.size ?? 0;
  }

  /** Own requests in progress by key, for this entry's report to its peers. */
  countOwnByKey(): Record<string, number> {
    return Object.fromEntries([...this.own].map(([key, { requestIds }]) => [key, requestIds.size]));
  }

  /** Takes in the report of another entry of the own data centre. */
  receive(report: EntryReport, now: MonotonicMilliseconds): void {
    const known = this.peers.get(report.instance)?.report;
    if (known !== undefined) {
      const age = report.incarnation - known.incarnation || report.sequence - known.sequence;
      if (age <= 0) return;
    }
    this.peers.set(report.instance, { report, heardAt: now });
    this.heardInRound.add(report.instance);
    this.countStaying();
    this.endRound(now);
  }

  /** Entries that share the limits: this one and its peers that are not leaving. */
  get entryCount(): number {
    return 1 + this.stayingPeers;
  }

  /** True if one more request under this key is within this entry's part of the limit. */
  hasCapacity(key: string, limit: number, now: MonotonicMilliseconds): boolean {
    const { entryCount: entries } = this;
    const own = this.own.get(key);
    const lowest = own?.lowest ?? 0;
    const free = limit - this.heldByPeers(key, limit, now) - lowest;
    return (own?.requestIds.size ?? 0) < lowest + Math.ceil(Math.max(0, free) / entries);
  }

  removeExpiredPeers(now: MonotonicMilliseconds): void {
    for (const [instance, peer] of this.peers) {
      if (now - peer.heardAt > PEER_EXPIRY_MILLISECONDS) {
        this.peers.delete(instance);
        this.heardInRound.delete(instance);
      }
    }
    this.countStaying();
    this.endRound(now);
  }

  private countStaying(): void {
    this.stayingPeers = 0;
    for (const { report } of this.peers.values()) if (!report.leaving) this.stayingPeers += 1;
  }

  private heldByPeers(key: string, limit: number, now: MonotonicMilliseconds): number {
    let held = 0;
    for (const { report, heardAt } of this.peers.values()) {
      const said = report.inProgress[key] ?? 0;
      const age = now - heardAt;
      const isSilent = age > PEER_TIMEOUT_MILLISECONDS && !report.leaving;
      held += isSilent ? Math.max(said, limit / this.entryCount) : said;
    }
    return held;
  }

  /** Once every peer in contact was heard, what this entry took is known to be known. */
  private endRound(now: MonotonicMilliseconds): void {
    for (const [instance, { heardAt }] of this.peers) {
      if (now - heardAt <= PEER_TIMEOUT_MILLISECONDS && !this.heardInRound.has(instance)) return;
    }
    this.heardInRound.clear();
    for (const own of this.own.values()) own.lowest = own.requestIds.size;
  }
}

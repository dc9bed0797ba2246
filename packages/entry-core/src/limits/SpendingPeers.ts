/**
 * What an entry knows of the other entries that share the allowances: their last totals, and when
 * each of them was last seen. A summary of all peers is kept until a report arrives or a timeout
 * passes, so that a decision does not walk all peers.
 */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** A peer not seen for this long is treated as unreachable; it may still be spending. */
const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 3000;

/** A peer not seen for this long is removed. */
export const PEER_EXPIRY_MILLISECONDS: Milliseconds = 60_000;

/**
 * A reachable peer is seen at least this often: it reports once a second, and an entry that is short
 * of processor time may read the report 0.44 s later.
 */
export const MAX_REPORT_INTERVAL_MILLISECONDS: Milliseconds = 1300;

/**
 * While at most this fraction of the peers is overdue, spending goes on as usual: the overdue ones
 * themselves miss most reports and keep to their quotas, which together are within the tolerance.
 * Among 20 entries one may be frozen while another is restarted.
 */
const MAX_OVERDUE_FRACTION_OF_PEERS = 0.12;

/**
 * An entry with a larger fraction of overdue peers tells no store what all entries have spent. After an
 * outage of the stores, entries that started from such a report spent 0.15 of the limit twice.
 */
const MAX_OVERDUE_FRACTION_OF_SOURCE = 0.25;

export interface SpendingPeer {
  readonly incarnation: EpochMilliseconds;
  readonly spent: Readonly<Record<string, number>>;
  readonly lastSeenAt: MonotonicMilliseconds;
  /**
   * True once it has reported that it shuts down; no share is reserved for it after its timeout.
   */
  readonly leaving: boolean;
  /** How many entries the peer counts, itself included. */
  readonly entryCount: number;
  /** Difference of this entry's clock and the peer's, plus the shortest delay of its reports. */
  readonly clockOffset?: Milliseconds;
}

/**
 * Longest delay that is read from the clock of a peer. A clock that stops for a while looks like a
 * delay of the reports, and spending must not count as older than it is for long.
 */
const MAX_READ_DELAY_MILLISECONDS: Milliseconds = 2000;

/** By this fraction of the time the offset may grow, so that an error of the clocks is forgotten. */
const OFFSET_GROWTH = 0.01;

/** The clock offset of a peer after a report that it sent at `sentAt`, by its own clock. */
export function updateClockOffset(
  peer: Pick<SpendingPeer, 'clockOffset' | 'lastSeenAt'> | undefined,
  sentAt: MonotonicMilliseconds | undefined,
  now: MonotonicMilliseconds,
): Milliseconds | undefined {
  if (sentAt === undefined) return undefined;
  const { clockOffset = Infinity, lastSeenAt = now } = peer ?? {};
  return Math.min(clockOffset + (now - lastSeenAt) * OFFSET_GROWTH, now - sentAt);
}

/** When a report was sent by this entry's clock, apart from the shortest delay of reports. */
export function sendingTime(
  offset: Milliseconds | undefined,
  sentAt: MonotonicMilliseconds | undefined,
  now: MonotonicMilliseconds,
): MonotonicMilliseconds {
  if (sentAt === undefined || offset === undefined) return now;
  return now - Math.min(MAX_READ_DELAY_MILLISECONDS, Math.max(0, now - sentAt - offset));
}

export interface PeerSummary {
  /**
   * Number of entries. An entry that starts during a network partition knows how many entries are
   * on the other side only from the reports of its peers.
   */
  readonly all: number;
  /** Number of entries that are not overdue for so long that they count as unreachable. */
  readonly reachable: number;
  /** True while the reports of so many peers are overdue that the stores may be partitioned. */
  readonly areReportsOverdue: boolean;
  /** True while too many reports are overdue to tell others what all entries have spent. */
  readonly isBlind: boolean;
  /** When the first of the reachable peers with overdue reports was last seen; infinite without. */
  readonly overdueSince: MonotonicMilliseconds;
  /** When the peer was last seen that was seen the longest ago; infinite without peers. */
  readonly oldestSeenAt: MonotonicMilliseconds;
  /** The summary holds until then, unless a report arrives. */
  readonly validUntil: MonotonicMilliseconds;
}

/** The next time after which the state of a peer that was last seen then may be another. */
function nextChangeAt(lastSeenAt: MonotonicMilliseconds, now: MonotonicMilliseconds) {
  const changes = [
    MAX_REPORT_INTERVAL_MILLISECONDS,
    PEER_TIMEOUT_MILLISECONDS,
    PEER_EXPIRY_MILLISECONDS,
  ];
  const next = changes.find((change) => lastSeenAt + change >= now) ?? PEER_EXPIRY_MILLISECONDS;
  return lastSeenAt + next;
}

export class SpendingPeers {
  private readonly peers = new Map<string, SpendingPeer>();

  private summary: PeerSummary | undefined;

  /** Number of entries: this one and the peers that are not removed yet. */
  get entryCount(): number {
    return this.peers.size + 1;
  }

  get(instance: string): SpendingPeer | undefined {
    return this.peers.get(instance);
  }

  set(instance: string, peer: SpendingPeer): void {
    this.peers.set(instance, peer);
    this.summary = undefined;
  }

  /** Removes expired peers and summarizes the others. */
  summarize(now: MonotonicMilliseconds): PeerSummary {
    if (this.summary === undefined || now >= this.summary.validUntil) {
      this.removeExpired(now);
      this.summary = this.makeSummary(now);
    }
    return this.summary;
  }

  private removeExpired(now: MonotonicMilliseconds): void {
    this.peers.forEach(({ lastSeenAt, leaving }, instance) => {
      const sinceLastSeen = now - lastSeenAt;
      const hasLeft = leaving && sinceLastSeen >= PEER_TIMEOUT_MILLISECONDS;
      if (hasLeft || sinceLastSeen >= PEER_EXPIRY_MILLISECONDS) this.peers.delete(instance);
    });
  }

  private makeSummary(now: MonotonicMilliseconds): PeerSummary {
    let all = this.entryCount;
    let reachable = 1;
    let overdue = 0;
    let overdueSince = Infinity;
    let oldestSeenAt = Infinity;
    let validUntil = Infinity;
    this.peers.forEach(({ lastSeenAt, entryCount }) => {
      const isOverdue = now - lastSeenAt > MAX_REPORT_INTERVAL_MILLISECONDS;
      const isReachable = now - lastSeenAt < PEER_TIMEOUT_MILLISECONDS;
      if (isOverdue) overdue += 1;
      if (isReachable) reachable += 1;
      if (isReachable) all = Math.max(all, entryCount);
      if (isReachable && isOverdue) overdueSince = Math.min(overdueSince, lastSeenAt);
      oldestSeenAt = Math.min(oldestSeenAt, lastSeenAt);
      validUntil = Math.min(validUntil, nextChangeAt(lastSeenAt, now));
    });
    const areReportsOverdue = overdue > this.peers.size * MAX_OVERDUE_FRACTION_OF_PEERS;
    const isBlind = overdue > Math.max(1, this.peers.size * MAX_OVERDUE_FRACTION_OF_SOURCE);
    return { all, reachable, areReportsOverdue, isBlind, overdueSince, oldestSeenAt, validUntil };
  }
}

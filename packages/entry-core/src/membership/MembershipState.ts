/** What an entry knows of the other entries. */
import type { EntryReport, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** The newest report of one other entry. */
export interface PeerState {
  readonly report: EntryReport;
  readonly receivedAt: MonotonicMilliseconds;
  /** False once its reports have timed out. */
  isReachable: boolean;
}

export interface MembershipState {
  /** By the peer's instance. */
  readonly peers: Map<string, PeerState>;
  /** Sequence number of this entry's last report. */
  sequence: number;
  reportedAt: MonotonicMilliseconds;
  /** When the next report is due; 0 for the next tick. */
  reportDueAt: MonotonicMilliseconds;
  /** Wall clock minus monotonic clock, as of the last tick. */
  wallOffset: Milliseconds;
}

export function makeMembershipState(): MembershipState {
  return {
    peers: new Map(),
    sequence: 0,
    reportedAt: Number.NEGATIVE_INFINITY,
    reportDueAt: 0,
    wallOffset: 0,
  };
}

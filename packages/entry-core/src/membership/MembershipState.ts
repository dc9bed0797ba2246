/** What an entry knows of the other entries. */
import type { EntryReport, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** The newest report of one other entry. */
export interface PeerState {
  readonly report: EntryReport;
  readonly receivedAt: MonotonicMilliseconds;
  /** False once it has been silent for too long. */
  live: boolean;
}

export interface MembershipState {
  /** By the peer's instance. */
  readonly peers: Map<string, PeerState>;
  /** Number of this entry's last report. */
  sequence: number;
  /** When the next report is due; 0 asks for one with the next tick. */
  reportDueAt: MonotonicMilliseconds;
  /** Wall clock less monotonic clock, as of the last tick. */
  wallOffset: Milliseconds;
}

export function makeMembershipState(): MembershipState {
  return { peers: new Map(), sequence: 0, reportDueAt: 0, wallOffset: 0 };
}

/**
 * Known spending of all entries together in the last window, and since when it is known. An entry
 * that starts takes it from a peer or a store.
 */
import {
  RECENT_SPENDING_AGES,
  type Milliseconds,
  type MonotonicMilliseconds,
  type SpendingBySecond,
} from '@hornbeampond/schema';
import { PEER_EXPIRY_MILLISECONDS } from './SpendingPeers.js';
import { SpendingWindow } from './SpendingWindow.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Window that an entry must know before it ignores persisted spending, if its own are shorter. */
const MIN_RESTORED_WINDOW_MILLISECONDS: Milliseconds = 8000;

/** A pause of reports that is longer is a partition or an outage of the stores. */
const LONG_PAUSE_MILLISECONDS: Milliseconds = 5000;

function middleAge(span: number): Milliseconds {
  const from = RECENT_SPENDING_AGES[span] ?? 0;
  return (from + (RECENT_SPENDING_AGES[span + 1] ?? from)) / 2;
}

export class SpendingHistory {
  readonly window = new SpendingWindow();

  /** By workspace, as last passed to `evict`. */
  private readonly windowLengths = new Map<string, Milliseconds>();

  /** Since when the spending of all entries is known here. */
  private startedAt: MonotonicMilliseconds | undefined;

  /** For how long up to now the spending of all entries is known here. */
  length(now: MonotonicMilliseconds): Milliseconds {
    this.startedAt ??= now;
    return now - this.startedAt;
  }

  /** True if the spending of all entries is known here for a whole window. */
  coversWindow(now: MonotonicMilliseconds): boolean {
    if (this.startedAt === undefined) return false;
    const windowLength = Math.max(MIN_RESTORED_WINDOW_MILLISECONDS, ...this.windowLengths.values());
    return now - this.startedAt >= windowLength;
  }

  /** Removes what is outside the window of the workspace. */
  evict(workspace: string, windowLength: Milliseconds, now: MonotonicMilliseconds): void {
    this.windowLengths.set(workspace, windowLength);
    this.window.evictBefore(workspace, now - windowLength);
  }

  /**
   * Records what a peer has spent since its previous report. Each amount is recorded in the middle of
   * its span of ages, and what is older with the last one. After a long pause without reports, as at
   * the end of a partition, it is recorded evenly over the pause: most of it is outside the window.
   */
  recordIncrease(
    workspace: string,
    increase: number,
    recent: readonly number[] | undefined,
    { sentAt, lastSeenAt }: { sentAt: MonotonicMilliseconds; lastSeenAt: MonotonicMilliseconds },
  ): void {
    let rest = increase;
    let recordedAt = sentAt;
    recent?.forEach((amount, span) => {
      const added = Math.min(rest, amount);
      rest -= added;
      recordedAt = sentAt - middleAge(span);
      this.window.record(workspace, added, recordedAt);
    });
    if (recordedAt - lastSeenAt < LONG_PAUSE_MILLISECONDS) {
      this.window.record(workspace, rest, recordedAt);
    } else {
      this.window.recordEvenly(workspace, rest, lastSeenAt, recordedAt);
    }
  }

  /** Known spending of each workspace in its window, by second, newest first. */
  describe(now: MonotonicMilliseconds): SpendingBySecond {
    // Without requests for a workspace here its window length is unknown; a fixed time is used.
    const spent = [...this.window.workspaces].map((workspace) => {
      const windowLength = this.windowLengths.get(workspace) ?? PEER_EXPIRY_MILLISECONDS;
      this.window.evictBefore(workspace, now - windowLength);
      return [workspace, this.window.sumBySecond(workspace, now)] as const;
    });
    return Object.fromEntries(spent.filter(([, amounts]) => amounts.length > 0));
  }

  /**
   * Adds spending that a peer or a store has recorded and this entry has not. Otherwise an entry
   * that restarts would start with an empty window and allow it to be spent again.
   */
  merge(
    windowSpent: SpendingBySecond,
    historyLength: Milliseconds,
    at: MonotonicMilliseconds,
  ): void {
    this.startedAt = Math.min(this.startedAt ?? at, at - historyLength);
    Object.entries(windowSpent).forEach(([workspace, amounts]) => {
      const knownTotal = this.window.total(workspace);
      const reportedTotal = amounts.reduce((sum, amount) => sum + amount, 0);
      let missing = Math.max(0, reportedTotal - knownTotal);
      // The spending that is missing here is assumed to be the most recent.
      amounts.forEach((amount, second) => {
        const added = Math.min(missing, amount);
        missing -= added;
        const to = at - second * MILLISECONDS_PER_SECOND;
        this.window.recordEvenly(workspace, added, to - MILLISECONDS_PER_SECOND, to);
      });
    });
  }
}

/**
 * Reports when a store has known no leader for some time. Its subscribers would otherwise stay with a
 * store that receives no changes, although others are reachable.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds } from '@hornbeampond/schema';

/** Election timeouts without a known leader after which `onLeaderTimeout` is called. */
const LEADERLESS_ELECTION_TIMEOUTS = 4;

export interface LeaderWatchOptions {
  readonly timers: TimerService;
  readonly electionTimeout: Milliseconds;
  onLeaderTimeout(): void;
}

export class LeaderWatch {
  private isLeaderless = false;

  private cancelTimer: Unsubscribe = () => {};

  constructor(private readonly options: LeaderWatchOptions) {}

  /** Records the leader that the store knows now, if any. */
  recordLeader(leader: string | undefined): void {
    const isLeaderless = leader === undefined;
    // Repeated elections without a leader must not restart the timer.
    if (isLeaderless === this.isLeaderless) return;
    this.isLeaderless = isLeaderless;
    this.cancelTimer();
    if (!isLeaderless) return;
    const { timers, electionTimeout, onLeaderTimeout } = this.options;
    this.cancelTimer = timers.after(
      LEADERLESS_ELECTION_TIMEOUTS * electionTimeout,
      onLeaderTimeout,
    );
  }

  stop(): void {
    this.cancelTimer();
  }
}

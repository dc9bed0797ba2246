/**
 * Tells when a store has known no leader for a while. Its subscribers would otherwise follow a store
 * that hears of no change, while others are within their reach.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds } from '@hornbeampond/schema';

/** Election timeouts without a known leader after which a store is out of touch. */
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

  /** Takes note of the leader that the store follows now, if it knows one. */
  recordLeader(leader: string | undefined): void {
    const isLeaderless = leader === undefined;
    // A store that stands for election again and again has been leaderless all the while.
    if (isLeaderless === this.isLeaderless) return;
    this.isLeaderless = isLeaderless;
    this.cancelTimer();
    if (!isLeaderless) return;
    const { timers, electionTimeout, onLeaderTimeout: onOutOfTouch } = this.options;
    this.cancelTimer = timers.after(LEADERLESS_ELECTION_TIMEOUTS * electionTimeout, onOutOfTouch);
  }

  stop(): void {
    this.cancelTimer();
  }
}

/**
 * Logs at regular intervals that a store knows no leader or takes no part in its cluster, with the
 * inputs that tell why, and once that this has ended. It reads the state itself: a store that never
 * becomes a member has no change of role to be told of.
 */
import type { Logger, Metrics, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { LogFields, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** Election timeouts without a leader before the first line. */
const LEADERLESS_ELECTION_TIMEOUTS = 4;

const REPORT_INTERVAL_MILLISECONDS: Milliseconds = 2000;

const MILLISECONDS_PER_SECOND = 1000;

/** What a store knows of its part in the cluster. */
export interface ClusterPart {
  /** False while the store knows no leader, is read-only, or its disk is refused. */
  readonly isInOrder: boolean;
  readonly isReadOnly: boolean;
  readonly isVoter: boolean;
  readonly voterCount: number;
  readonly leader: string | undefined;
  /** Further inputs for the log line. */
  readonly fields: LogFields;
}

export interface LeaderlessReportsOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly electionTimeout: Milliseconds;
  readPart(): ClusterPart;
}

export class LeaderlessReports {
  private since: MonotonicMilliseconds | undefined;

  private leaderlessSince: MonotonicMilliseconds | undefined;

  private reportedAt: MonotonicMilliseconds | undefined;

  private cancelTimer: Unsubscribe = () => {};

  constructor(private readonly options: LeaderlessReportsOptions) {}

  start(): void {
    const { timers, electionTimeout } = this.options;
    this.cancelTimer();
    this.check();
    this.cancelTimer = timers.every(electionTimeout, () => this.check());
  }

  stop(): void {
    this.cancelTimer();
  }

  private check(): void {
    const part = this.options.readPart();
    const now = this.options.timers.monotonicNow();
    this.leaderlessSince = part.leader === undefined ? (this.leaderlessSince ?? now) : undefined;
    this.exportGauges(part, now);
    if (part.isInOrder) this.end(part, now);
    else this.report(part, now);
  }

  private report({ leader, fields }: ClusterPart, now: MonotonicMilliseconds): void {
    const { logger, electionTimeout } = this.options;
    this.since ??= now;
    const duration = now - this.since;
    if (duration < LEADERLESS_ELECTION_TIMEOUTS * electionTimeout) return;
    if (this.reportedAt !== undefined && now - this.reportedAt < REPORT_INTERVAL_MILLISECONDS)
      return;
    this.reportedAt = now;
    logger.write('storeLeaderless', { duration: Math.round(duration), leader, ...fields });
  }

  private end({ leader, fields }: ClusterPart, now: MonotonicMilliseconds): void {
    if (this.since !== undefined && this.reportedAt !== undefined) {
      const duration = Math.round(now - this.since);
      this.options.logger.write('storeLeaderKnown', { duration, leader, ...fields });
    }
    this.since = undefined;
    this.reportedAt = undefined;
  }

  private exportGauges(part: ClusterPart, now: MonotonicMilliseconds): void {
    const { metrics } = this.options;
    const leaderless = now - (this.leaderlessSince ?? now);
    metrics.setGauge('storeVoters', part.voterCount);
    metrics.setGauge('storeIsVoter', Number(part.isVoter));
    metrics.setGauge('storeReadOnly', Number(part.isReadOnly));
    metrics.setGauge('storeLeaderless', leaderless / MILLISECONDS_PER_SECOND);
  }
}

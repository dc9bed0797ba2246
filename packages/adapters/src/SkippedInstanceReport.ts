/**
 * Counts the rows of the list of instances that are skipped, and logs them. The list is read every
 * second, and an odd row may stay in it for days, so the same rows are logged once a minute.
 */
import type { Logger, Metrics, TimerService } from '@hornbeampond/runtime';
import type { Milliseconds, MonotonicMilliseconds, SkippedInstance } from '@hornbeampond/schema';

const REPEAT_MILLISECONDS: Milliseconds = 60_000;

/** Rows of one reading that are compared with those that were logged; the others are only counted. */
const MAX_COMPARED_ROWS = 100;

const MAX_LOGGED_NAMES = 5;

export interface SkippedInstanceReportOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class SkippedInstanceReport {
  /** When each row was last logged, by reason and name. */
  private readonly loggedAt = new Map<string, MonotonicMilliseconds>();

  constructor(private readonly options: SkippedInstanceReportOptions) {}

  /** Takes the rows that one reading of the list has skipped. */
  record(skipped: readonly SkippedInstance[]): void {
    const reasons = new Map<SkippedInstance['reason'], number>();
    skipped.forEach(({ reason }) => reasons.set(reason, (reasons.get(reason) ?? 0) + 1));
    reasons.forEach((amount, label) => {
      this.options.metrics.count({ metric: 'unreadableInstances', label, amount });
    });
    if (!this.recordLogged(skipped)) return;
    const names = skipped.flatMap(({ name }) => name ?? []).slice(0, MAX_LOGGED_NAMES);
    this.options.logger.write('instancesUnreadable', {
      skipped: skipped.length,
      reasons: Object.fromEntries(reasons),
      names,
    });
  }

  /** True if a row was not logged within the last minute; all are taken as logged then. */
  private recordLogged(skipped: readonly SkippedInstance[]): boolean {
    const now = this.options.timers.monotonicNow();
    this.loggedAt.forEach((at, key) => {
      if (now - at >= REPEAT_MILLISECONDS) this.loggedAt.delete(key);
    });
    const keys = skipped
      .slice(0, MAX_COMPARED_ROWS)
      .map(({ reason, name = '' }) => `${reason} ${name}`);
    if (keys.every((key) => this.loggedAt.has(key))) return false;
    keys.forEach((key) => this.loggedAt.set(key, now));
    return true;
  }
}

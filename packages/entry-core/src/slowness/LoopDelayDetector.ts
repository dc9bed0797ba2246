/**
 * Detects that this process gets too little processor time, by how late its ticks are. A process
 * that is merely busy for a moment, or that was suspended once, does not count as slow: only ticks
 * that are late most of the time for two seconds do, and it recovers as slowly.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** Interval of the tick event. */
export const TICK_INTERVAL_MILLISECONDS: Milliseconds = 50;

/** Timers fire slightly late in a healthy process too. */
const TOLERATED_LATENESS_MILLISECONDS: Milliseconds = 10;

const PERIOD_MILLISECONDS: Milliseconds = 1000;

/** A longer gap is a suspension of the process, which says nothing about its speed. */
const MAX_GAP_MILLISECONDS: Milliseconds = 2500;

/** Fraction of a period by which ticks were late, from which on a period counts as slow. */
const SLOW_LATE_FRACTION = 0.6;

/** The fraction up to which a period counts as normal; in between, nothing changes. */
const NORMAL_LATE_FRACTION = 0.3;

/** Periods in a row after which the verdict changes. */
const PERIODS_UNTIL_CHANGE = 2;

export class LoopDelayDetector {
  private slow = false;

  private lastTickAt: MonotonicMilliseconds | undefined;

  private elapsed: Milliseconds = 0;

  private late: Milliseconds = 0;

  private periodsTowardsChange = 0;

  private lastLateFraction = 0;

  private totalLate: Milliseconds = 0;

  get isSlow(): boolean {
    return this.slow;
  }

  /** Fraction of the last whole period by which ticks were late. */
  get lateFraction(): number {
    return this.lastLateFraction;
  }

  /**
   * By how much this process may have been late in all, up to now. The difference between two times is
   * the most that it has added to a delay measured from the first to the second: it may have stood still
   * since just after the last tick.
   */
  totalLateness(now: MonotonicMilliseconds): Milliseconds {
    const gap = now - (this.lastTickAt ?? now);
    const isLate = gap > TICK_INTERVAL_MILLISECONDS + TOLERATED_LATENESS_MILLISECONDS;
    return this.totalLate + (isLate ? gap : 0);
  }

  /** Records a tick; returns true if the verdict has changed. */
  recordTick(now: MonotonicMilliseconds): boolean {
    const gap = now - (this.lastTickAt ?? now);
    this.totalLate = this.totalLateness(now);
    this.lastTickAt = now;
    if (gap > MAX_GAP_MILLISECONDS) {
      this.startPeriod();
      this.periodsTowardsChange = 0;
      return false;
    }
    this.elapsed += gap;
    const lateness = gap - TICK_INTERVAL_MILLISECONDS;
    if (lateness > TOLERATED_LATENESS_MILLISECONDS) this.late += lateness;
    if (this.elapsed < PERIOD_MILLISECONDS) return false;
    this.lastLateFraction = this.late / this.elapsed;
    this.startPeriod();
    return this.countPeriod();
  }

  private startPeriod(): void {
    this.elapsed = 0;
    this.late = 0;
  }

  private countPeriod(): boolean {
    const { lastLateFraction, slow } = this;
    const isTowardsChange = slow
      ? lastLateFraction <= NORMAL_LATE_FRACTION
      : lastLateFraction >= SLOW_LATE_FRACTION;
    this.periodsTowardsChange = isTowardsChange ? this.periodsTowardsChange + 1 : 0;
    if (this.periodsTowardsChange < PERIODS_UNTIL_CHANGE) return false;
    this.periodsTowardsChange = 0;
    this.slow = !slow;
    return true;
  }
}

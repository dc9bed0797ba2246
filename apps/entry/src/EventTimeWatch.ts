/**
 * Measures for how long this process handles events, by their kind. Where an entry is short of
 * processor time, late ticks say that it is; this says what it spends the time on.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const PERIOD_MILLISECONDS: Milliseconds = 1000;

/** Fraction of a period spent on events from which on they count as taking too long. */
const BUSY_FRACTION = 0.5;

/** Below this fraction they no longer do. */
const CALM_FRACTION = 0.25;

/** Kinds of events that a log line names: those that took the most time. */
const MAX_NAMED_KINDS = 4;

/** What a period has shown, where that changes the verdict. */
export interface EventTimeChange {
  readonly isBusy: boolean;
  readonly period: Milliseconds;
  readonly busyFraction: number;
  /** Time spent on events in the period, by kind, the longest first. */
  readonly millisecondsByEvent: Readonly<Record<string, number>>;
}

export class EventTimeWatch {
  private readonly spent = new Map<string, Milliseconds>();

  private total: Milliseconds = 0;

  private isBusy = false;

  constructor(private periodStartedAt: MonotonicMilliseconds) {}

  /** Records that an event was handled until `now`; returns what has changed with it, if anything. */
  record(
    event: string,
    duration: Milliseconds,
    now: MonotonicMilliseconds,
  ): EventTimeChange | undefined {
    this.total += duration;
    this.spent.set(event, (this.spent.get(event) ?? 0) + duration);
    const period = now - this.periodStartedAt;
    return period < PERIOD_MILLISECONDS ? undefined : this.endPeriod(period, now);
  }

  private endPeriod(period: Milliseconds, now: MonotonicMilliseconds): EventTimeChange | undefined {
    const busyFraction = this.total / period;
    const isBusy = busyFraction >= (this.isBusy ? CALM_FRACTION : BUSY_FRACTION);
    const hasChanged = isBusy !== this.isBusy;
    const millisecondsByEvent = hasChanged ? this.describeLongest() : {};
    this.isBusy = isBusy;
    this.periodStartedAt = now;
    this.total = 0;
    this.spent.clear();
    return hasChanged ? { isBusy, period, busyFraction, millisecondsByEvent } : undefined;
  }

  private describeLongest(): Record<string, number> {
    const longest = [...this.spent].sort(([, a], [, b]) => b - a).slice(0, MAX_NAMED_KINDS);
    return Object.fromEntries(longest.map(([event, spent]) => [event, Math.round(spent)]));
  }
}

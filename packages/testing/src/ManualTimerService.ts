/**
 * A timer service with virtual time for tests. Time moves only in `advance`, which fires due
 * timers in order of time and, for equal times, of scheduling.
 */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { TimerService, type Unsubscribe } from '@hornbeampond/runtime';

interface Subscription {
  readonly dueAt: MonotonicMilliseconds;
  readonly order: number;
  readonly listener: () => void;
}

export class ManualTimerService extends TimerService {
  private now = 0;

  private order = 0;

  private readonly subscriptions = new Set<Subscription>();

  constructor(private readonly startedAt: EpochMilliseconds = Date.UTC(2026, 0, 15, 11)) {
    super();
  }

  override monotonicNow(): MonotonicMilliseconds {
    return this.now;
  }

  override wallNow(): EpochMilliseconds {
    return this.startedAt + this.now;
  }

  override after(delay: Milliseconds, listener: () => void): Unsubscribe {
    this.order += 1;
    const subscription = { dueAt: this.now + delay, order: this.order, listener };
    this.subscriptions.add(subscription);
    return () => {
      this.subscriptions.delete(subscription);
    };
  }

  /** Advances time by `span` and fires each timer that becomes due, at its due time. */
  advance(span: Milliseconds): void {
    const end = this.now + span;
    for (let next = this.findNextDue(end); next !== undefined; next = this.findNextDue(end)) {
      this.now = next.dueAt;
      this.subscriptions.delete(next);
      next.listener();
    }
    this.now = end;
  }

  private findNextDue(end: MonotonicMilliseconds): Subscription | undefined {
    return [...this.subscriptions]
      .filter((subscription) => subscription.dueAt <= end)
      .sort((a, b) => a.dueAt - b.dueAt || a.order - b.order)[0];
  }
}

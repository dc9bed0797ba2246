/**
 * The retry times of the callers whose requests were refused by share, for one pool. They are in
 * order of priority, and one after another at the rate at which this entry admits such requests.
 * That rate is the entry's part of the share, so the schedules of all entries add up to one.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const MIN_WAIT_MILLISECONDS: Milliseconds = 50;

/** A caller needs the rest of its time for the answer, or for another retry. */
const MAX_WAIT_FRACTION_OF_TIME_LEFT = 1 / 3;

export interface RefusedArrival {
  readonly priority: number;
  /** Time between two admitted requests like it; infinite if none is admitted. */
  readonly interval: Milliseconds;
  /** How long the caller goes on waiting for an answer. */
  readonly timeLeft: Milliseconds;
}

export class RetrySchedule {
  /** The latest time that was assigned, by priority. */
  private readonly latest = new Map<number, MonotonicMilliseconds>();

  /** Returns when the caller is to retry. */
  assign(
    { priority, interval, timeLeft }: RefusedArrival,
    now: MonotonicMilliseconds,
  ): MonotonicMilliseconds {
    const limit = now + Math.max(MIN_WAIT_MILLISECONDS, timeLeft * MAX_WAIT_FRACTION_OF_TIME_LEFT);
    const afterUrgent = Math.max(
      now + MIN_WAIT_MILLISECONDS,
      ...[...this.latest].filter(([other]) => other < priority).map(([, at]) => at),
    );
    const own = Math.max(now, this.latest.get(priority) ?? now);
    const retryAt = Math.min(limit, Math.max(afterUrgent, own + interval));
    this.latest.set(priority, Math.max(own, retryAt));
    return retryAt;
  }
}

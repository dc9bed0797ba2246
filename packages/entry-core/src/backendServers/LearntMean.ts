/**
 * A moving mean of delays that falls faster than it rises, so that a rush is not taken for the
 * usual state of things. A mean without a young sample is not believed: otherwise one bad moment
 * could make every request be refused, and with none admitted the mean could never be corrected.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const FALL_SHARE = 0.2;
const RISE_SHARE = 0.05;
const BELIEVED_MILLISECONDS: Milliseconds = 30_000;
const YOUNG_MILLISECONDS: Milliseconds = 3000;

export class LearntMean {
  private mean: Milliseconds | undefined;

  private learntAt: MonotonicMilliseconds = 0;

  value(now: MonotonicMilliseconds): Milliseconds | undefined {
    return now - this.learntAt <= BELIEVED_MILLISECONDS ? this.mean : undefined;
  }

  /** True if the last sample is of just now. */
  isYoung(now: MonotonicMilliseconds): boolean {
    return this.mean !== undefined && now - this.learntAt <= YOUNG_MILLISECONDS;
  }

  learn(sample: Milliseconds, now: MonotonicMilliseconds): void {
    const known = this.value(now) ?? sample;
    this.mean = known + (sample - known) * (sample < known ? FALL_SHARE : RISE_SHARE);
    this.learntAt = now;
  }
}

/**
 * A moving mean of times. A mean without a young sample is not believed: otherwise one bad moment
 * could make every request be refused, and with none admitted the mean could never be corrected.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const BELIEVED_MILLISECONDS: Milliseconds = 30_000;
const YOUNG_MILLISECONDS: Milliseconds = 3000;

export class LearntMean {
  /**
   * @param riseShare - Weight of a sample above the mean.
   * @param fallShare - Weight of a sample below it.
   */
  constructor(
    private readonly riseShare: number,
    private readonly fallShare: number,
  ) {}

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
    this.mean = known + (sample - known) * (sample < known ? this.fallShare : this.riseShare);
    this.learntAt = now;
  }
}

/** The peak of recent counts, which decays with a fixed half-life. */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const HALF_LIFE_MILLISECONDS: Milliseconds = 10_000;

export class DecayingPeak {
  private peak = 0;

  private recordedAt: MonotonicMilliseconds = 0;

  record(count: number, now: MonotonicMilliseconds): void {
    if (count < this.valueAt(now)) return;
    this.peak = count;
    this.recordedAt = now;
  }

  valueAt(now: MonotonicMilliseconds): number {
    return this.peak * 0.5 ** ((now - this.recordedAt) / HALF_LIFE_MILLISECONDS);
  }
}

/** An exponential moving average. */
import type { Milliseconds } from '@hornbeampond/schema';

const SAMPLE_WEIGHT = 0.1;

export class MovingAverage {
  private mean: Milliseconds | undefined;

  private count = 0;

  /** @param defaultValue - Returned until the first sample, which replaces it. */
  constructor(private readonly defaultValue: Milliseconds) {}

  get value(): Milliseconds {
    return this.mean ?? this.defaultValue;
  }

  /** Number of samples so far. */
  get samples(): number {
    return this.count;
  }

  addSample(sample: Milliseconds): void {
    this.count += 1;
    this.mean = this.mean === undefined ? sample : this.mean + (sample - this.mean) * SAMPLE_WEIGHT;
  }
}

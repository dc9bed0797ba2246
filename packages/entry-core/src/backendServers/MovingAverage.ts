/** A moving mean of times, in which old samples fade. */
import type { Milliseconds } from '@hornbeampond/schema';

const SAMPLE_WEIGHT = 0.1;

export class MovingAverage {
  private mean: Milliseconds | undefined;

  /** @param prior - What is believed before the first sample. */
  constructor(private readonly prior: Milliseconds) {}

  get value(): Milliseconds {
    return this.mean ?? this.prior;
  }

  addSample(sample: Milliseconds): void {
    this.mean = this.mean === undefined ? sample : this.mean + (sample - this.mean) * SAMPLE_WEIGHT;
  }
}

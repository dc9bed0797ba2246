/** An exponential moving average. */

const SAMPLE_WEIGHT = 0.1;

export class MovingAverage {
  private mean: number | undefined;

  /** @param defaultValue - Returned until the first sample, which replaces it. */
  constructor(private readonly defaultValue: number) {}

  get value(): number {
    return this.mean ?? this.defaultValue;
  }

  addSample(sample: number): void {
    this.mean = this.mean === undefined ? sample : this.mean + (sample - this.mean) * SAMPLE_WEIGHT;
  }
}

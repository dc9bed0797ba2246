/**
 * How long the calls of one route take at this entry: quantiles over the latest first attempts, and
 * how many calls miss their target. An attempt that was cancelled or timed out counts with the time
 * that it had run, which is less than it would have taken; such attempts are slower than the quantiles
 * that are read, so these stay right.
 */
import type { Milliseconds } from '@hornbeampond/schema';

/** An entry among many sees less than one call of a route per second. */
const MAX_SAMPLES = 100;

/** With fewer samples, the slowest of them says little about what is usual. */
const MIN_SAMPLES = 5;

/** Weight of a new call in the fraction of late ones. */
const LATENESS_WEIGHT = 0.1;

export interface UsualDurations {
  readonly samples: number;
  readonly lowerQuartile: Milliseconds;
  readonly median: Milliseconds;
  readonly percentile95: Milliseconds;
}

export class RouteDurations {
  private readonly samples: Milliseconds[] = [];

  private nextPosition = 0;

  private usual: UsualDurations | undefined;

  private lateness = 0;

  /** Moving average over the latest calls: 0 if all were in time, 1 if all were late. */
  get lateFraction(): number {
    return this.lateness;
  }

  addSample(duration: Milliseconds): void {
    this.samples[this.nextPosition] = duration;
    this.nextPosition = (this.nextPosition + 1) % MAX_SAMPLES;
    this.usual = undefined;
  }

  recordOutcome(isLate: boolean): void {
    this.lateness += ((isLate ? 1 : 0) - this.lateness) * LATENESS_WEIGHT;
  }

  /** Undefined until there are enough samples. A few samples give too high quantiles, not too low. */
  readUsual(): UsualDurations | undefined {
    const { length } = this.samples;
    if (length < MIN_SAMPLES) return undefined;
    if (this.usual !== undefined) return this.usual;
    const sorted = [...this.samples].sort((a, b) => a - b);
    const quantile = (fraction: number) =>
      sorted[Math.min(length, Math.ceil(fraction * (length + 1))) - 1] ?? 0;
    this.usual = {
      samples: length,
      lowerQuartile: quantile(0.25),
      median: quantile(0.5),
      percentile95: quantile(0.95),
    };
    return this.usual;
  }
}

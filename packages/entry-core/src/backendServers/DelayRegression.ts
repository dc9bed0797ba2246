/**
 * Estimates a delay that grows linearly with an amount of work, by a linear regression in which old
 * samples fade. For the first-token delay the intercept is the fixed cost of a request and the
 * slope the prefill time per token.
 */
import type {
  DelayRegressionState,
  Milliseconds,
  MonotonicMilliseconds,
} from '@hornbeampond/schema';

const SAMPLE_WEIGHT = 0.05;
const PRIOR_MEAN_WORK = 1000;
const PRIOR_WORK_VARIANCE = 200 ** 2;
const MAX_TRUSTED_SAMPLE_AGE_MILLISECONDS: Milliseconds = 3000;

/** From this number of samples on, the prior has less than half of the weight. */
const MIN_TRUSTED_SAMPLES = 14;

export class DelayRegression {
  private meanX: number;

  private meanY: number;

  private meanXX: number;

  private meanXY: number;

  private lastSampleAt: MonotonicMilliseconds | undefined;

  private samples = 0;

  /**
   * Starts from a prior line, as if two samples had been on it. Without the prior, early samples of
   * nearly equal work would give a flat line, and cached prefixes would seem to save no time.
   */
  constructor(
    baseDelay: Milliseconds,
    private readonly priorSlope: number,
  ) {
    const slope = priorSlope;
    const maxPriorWork = 2 * PRIOR_MEAN_WORK;
    this.meanX = PRIOR_MEAN_WORK;
    this.meanY = baseDelay + slope * PRIOR_MEAN_WORK;
    this.meanXX = maxPriorWork ** 2 / 2;
    this.meanXY = (maxPriorWork * (baseDelay + slope * maxPriorWork)) / 2;
  }

  /** The estimate, for other entries to adopt; undefined while the prior still dominates. */
  toRegressionState(): DelayRegressionState | undefined {
    const { samples, meanX, meanY, meanXX, meanXY } = this;
    if (samples < MIN_TRUSTED_SAMPLES) return undefined;
    return { samples, meanX, meanY, meanXX, meanXY };
  }

  /** Adopts the estimate of another entry, unless this one has enough samples of its own. */
  adopt({ samples, meanX, meanY, meanXX, meanXY }: DelayRegressionState): void {
    if (this.samples >= MIN_TRUSTED_SAMPLES) return;
    Object.assign(this, { meanX, meanY, meanXX, meanXY });
    this.samples = Math.min(samples, MIN_TRUSTED_SAMPLES);
  }

  /** Number of samples, also while the prior still dominates. */
  get sampleCount(): number {
    return this.samples;
  }

  /** Number of samples, or 0 while the prior still dominates. */
  get trustedSamples(): number {
    return this.samples < MIN_TRUSTED_SAMPLES ? 0 : this.samples;
  }

  /** True if the last sample is recent and the samples outweigh the prior. */
  isTrusted(now: MonotonicMilliseconds): boolean {
    if (this.lastSampleAt === undefined || this.samples < MIN_TRUSTED_SAMPLES) return false;
    return now - this.lastSampleAt <= MAX_TRUSTED_SAMPLE_AGE_MILLISECONDS;
  }

  predict(work: number): Milliseconds {
    const baseDelay = Math.max(0, this.meanY - this.slope() * this.meanX);
    return baseDelay + this.predictMarginalDelay(work);
  }

  /** The part of the delay that depends on the work. */
  predictMarginalDelay(work: number): Milliseconds {
    return work * this.slope();
  }

  /** @param weight - Less than 1 for a sample that may not be typical. */
  addSample(work: number, delay: Milliseconds, now: MonotonicMilliseconds, weight = 1): void {
    const sampleWeight = SAMPLE_WEIGHT * weight;
    this.meanX += (work - this.meanX) * sampleWeight;
    this.meanY += (delay - this.meanY) * sampleWeight;
    this.meanXX += (work * work - this.meanXX) * sampleWeight;
    this.meanXY += (work * delay - this.meanXY) * sampleWeight;
    this.lastSampleAt = now;
    this.samples += weight;
  }

  /**
   * The slope, drawn towards the prior when the samples have nearly equal work: such samples say
   * little about the cost per token, and a single slow server could make the line far too steep.
   */
  private slope(): number {
    const variance = Math.max(0, this.meanXX - this.meanX ** 2);
    const covariance = this.meanXY - this.meanX * this.meanY;
    const regularizedCovariance = covariance + PRIOR_WORK_VARIANCE * this.priorSlope;
    return Math.max(0, regularizedCovariance / (variance + PRIOR_WORK_VARIANCE));
  }
}

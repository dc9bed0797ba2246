/**
 * A delay that grows with an amount of work: a straight line fitted to samples, of which old ones
 * fade. For first tokens it holds what a prompt costs whatever its length, and what each token adds.
 */
import type { LearntDelay, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const SAMPLE_WEIGHT = 0.05;
const PRIOR_MEAN_WORK = 1000;
const PRIOR_WORK_VARIANCE = 200 ** 2;
const MAX_TRUSTED_SAMPLE_AGE_MILLISECONDS: Milliseconds = 3000;

/** After so many samples the first belief has less than half of the say. */
const MIN_TRUSTED_SAMPLES = 14;

export class DelayRegression {
  private meanX: number;

  private meanY: number;

  private meanXX: number;

  private meanXY: number;

  private lastSampleAt: MonotonicMilliseconds | undefined;

  private samples = 0;

  /**
   * What is believed before the first sample, as if two samples had been of it: without them the
   * first samples, all alike, would make the line flat, and no work would be worth saving.
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

  /** What was learnt, for entries that start; undefined while the first belief has much of the say. */
  toLearntDelay(): LearntDelay | undefined {
    const { samples, meanX, meanY, meanXX, meanXY } = this;
    if (samples < MIN_TRUSTED_SAMPLES) return undefined;
    return { samples, meanX, meanY, meanXX, meanXY };
  }

  /** Takes over what another entry has learnt, unless this one has learnt enough itself. */
  adopt({ samples, meanX, meanY, meanXX, meanXY }: LearntDelay): void {
    if (this.samples >= MIN_TRUSTED_SAMPLES) return;
    Object.assign(this, { meanX, meanY, meanXX, meanXY });
    this.samples = Math.min(samples, MIN_TRUSTED_SAMPLES);
  }

  /** True if the last sample is of just now, and samples weigh more than the first belief. */
  isTrusted(now: MonotonicMilliseconds): boolean {
    if (this.lastSampleAt === undefined || this.samples < MIN_TRUSTED_SAMPLES) return false;
    return now - this.lastSampleAt <= MAX_TRUSTED_SAMPLE_AGE_MILLISECONDS;
  }

  predict(work: number): Milliseconds {
    const baseDelay = Math.max(0, this.meanY - this.slope() * this.meanX);
    return baseDelay + this.predictMarginalDelay(work);
  }

  /** The part of the delay that is due to the work. */
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
   * The fitted slope, drawn towards the first belief by as much as the samples are alike: prompts
   * of nearly one length say little of what a token costs, and one slow server among them would
   * otherwise make the line as steep as its own few delays.
   */
  private slope(): number {
    const variance = Math.max(0, this.meanXX - this.meanX ** 2);
    const covariance = this.meanXY - this.meanX * this.meanY;
    const regularizedCovariance = covariance + PRIOR_WORK_VARIANCE * this.priorSlope;
    return Math.max(0, regularizedCovariance / (variance + PRIOR_WORK_VARIANCE));
  }
}

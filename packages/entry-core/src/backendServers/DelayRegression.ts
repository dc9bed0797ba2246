/**
 * A delay that grows with an amount of work: a straight line fitted to samples, of which old ones
 * fade. For first tokens it holds what a prompt costs whatever its length, and what each token adds.
 */
import type { LearntDelay, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const SAMPLE_SHARE = 0.05;
const PRIOR_WORK = 1000;
const PRIOR_VARIANCE = 200 ** 2;
const YOUNG_MILLISECONDS: Milliseconds = 3000;

/** After so many samples the first belief has less than half of the say. */
const SETTLED_SAMPLES = 14;

export class DelayRegression {
  private meanX: number;

  private meanY: number;

  private meanXX: number;

  private meanXY: number;

  private learntAt: MonotonicMilliseconds | undefined;

  private samples = 0;

  /**
   * What is believed before the first sample, as if two samples had been of it: without them the
   * first samples, all alike, would make the line flat, and no work would be worth saving.
   */
  constructor(
    base: Milliseconds,
    private readonly priorSlope: number,
  ) {
    const slope = priorSlope;
    const mostWork = 2 * PRIOR_WORK;
    this.meanX = PRIOR_WORK;
    this.meanY = base + slope * PRIOR_WORK;
    this.meanXX = mostWork ** 2 / 2;
    this.meanXY = (mostWork * (base + slope * mostWork)) / 2;
  }

  /** What was learnt, for entries that start; undefined while the first belief has much of the say. */
  toLearntDelay(): LearntDelay | undefined {
    const { samples, meanX, meanY, meanXX, meanXY } = this;
    if (samples < SETTLED_SAMPLES) return undefined;
    return { samples, meanX, meanY, meanXX, meanXY };
  }

  /** Takes over what another entry has learnt, unless this one has learnt enough itself. */
  adopt({ samples, meanX, meanY, meanXX, meanXY }: LearntDelay): void {
    if (this.samples >= SETTLED_SAMPLES) return;
    Object.assign(this, { meanX, meanY, meanXX, meanXY });
    this.samples = Math.min(samples, SETTLED_SAMPLES);
  }

  /** True if the last sample is of just now, and samples weigh more than the first belief. */
  isTrusted(now: MonotonicMilliseconds): boolean {
    if (this.learntAt === undefined || this.samples < SETTLED_SAMPLES) return false;
    return now - this.learntAt <= YOUNG_MILLISECONDS;
  }

  predict(work: number): Milliseconds {
    const base = Math.max(0, this.meanY - this.slope() * this.meanX);
    return base + this.predictMarginalDelay(work);
  }

  /** The part of the delay that is due to the work. */
  predictMarginalDelay(work: number): Milliseconds {
    return work * this.slope();
  }

  /** @param weight - Less than 1 for a sample that may not be typical. */
  addSample(work: number, delay: Milliseconds, now: MonotonicMilliseconds, weight = 1): void {
    const share = SAMPLE_SHARE * weight;
    this.meanX += (work - this.meanX) * share;
    this.meanY += (delay - this.meanY) * share;
    this.meanXX += (work * work - this.meanXX) * share;
    this.meanXY += (work * delay - this.meanXY) * share;
    this.learntAt = now;
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
    const fitted = covariance + PRIOR_VARIANCE * this.priorSlope;
    return Math.max(0, fitted / (variance + PRIOR_VARIANCE));
  }
}

/** Decides when a running call is considered for a hedge, and whether the hedge is sent then. */
import type { HedgeRefusalReason, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { UsualDurations } from './RouteDurations.js';

/**
 * Lower bound of the delay, in medians. Where all calls take about as long, the first attempt is
 * nearly done by the 95th percentile. It also bounds the delay while little has been measured.
 */
const MIN_DELAY_MEDIANS = 2;

/** Timers fire late, and the answer takes time to be read and sent. */
const MARGIN_MILLISECONDS: Milliseconds = 10;

/** From here on, the load is the cause of late answers, and hedges would add to it. */
const MAX_LATE_FRACTION = 0.5;

/**
 * How long an attempt runs before it is hedged: as long as the usual 95th percentile, or less if a hedge
 * of median duration would then miss the target. Where many calls hang, the percentile is a time of
 * hanging and only the target shows when a hedge is needed.
 */
export function chooseHedgeDelay(
  { median, percentile95 }: UsualDurations,
  timeUntilTarget: Milliseconds,
): Milliseconds {
  const latestUseful = timeUntilTarget - median - MARGIN_MILLISECONDS;
  return Math.max(MIN_DELAY_MEDIANS * median, Math.min(percentile95, latestUseful));
}

export interface HedgeInputs {
  readonly now: MonotonicMilliseconds;
  /** When the answer is due to be in time. */
  readonly targetAt: MonotonicMilliseconds;
  /** True once the first attempt has received a byte of its answer. */
  readonly hasAnswerBegun: boolean;
  readonly attemptsLeft: number;
  readonly isProcessSlow: boolean;
  readonly lateFraction: number;
  readonly lowerQuartile: Milliseconds;
  /** True if the request may have crashed a backend server; it runs on one at a time. */
  readonly isSuspect: boolean;
  /** True if a hedge can be paid without using up what failures need. */
  readonly isWithinBudget: boolean;
  /** True if another backend server can take the request immediately. */
  readonly hasFreeServer: boolean;
}

/** Why no hedge is sent; undefined if it is. */
export function findHedgeRefusal(inputs: HedgeInputs): HedgeRefusalReason | undefined {
  if (inputs.hasAnswerBegun) return 'answerBegun';
  if (inputs.attemptsLeft < 1) return 'attemptsUsedUp';
  if (inputs.isProcessSlow) return 'processSlow';
  if (inputs.isSuspect) return 'suspect';
  if (inputs.lateFraction > MAX_LATE_FRACTION) return 'mostCallsLate';
  if (inputs.now + inputs.lowerQuartile > inputs.targetAt) return 'deadlineTooNear';
  if (!inputs.isWithinBudget) return 'budgetShort';
  return inputs.hasFreeServer ? undefined : 'noFreeServer';
}

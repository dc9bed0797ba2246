/**
 * Compares the answers of a new version with those of the old one by sequential probability ratio
 * tests: after each answer they say whether the new version is worse by so much that chance does not
 * explain it. Several tests run side by side, because a test for a great difference needs many answers
 * to find a small one, and the reverse.
 */
import type { AnswerCounts } from '@hornbeampond/schema';
import type { VersionCounts } from './RolloutLedger.js';

/** How much more often than the old version a bad one fails, one for each test. */
const EXCESS_FAILURE_SHARES = [0.04, 0.15, 0.5];

/** A good version is taken for a bad one at most once in so many roll-outs, by each test. */
const ODDS_OF_FALSE_VERDICT = 10_000;

export const VERDICT_LOG_RATIO = Math.log(ODDS_OF_FALSE_VERDICT);

/** Evidence against a difference that is enough to give a version more requests. */
const PROVEN_LOG_RATIO = -2;

/** The difference that `isProven` excludes. */
const EXCLUDED_EXCESS = 0.15;

/** Assumed beside the answers of a version, so that few of them say little. */
const PRIOR: AnswerCounts = { answers: 4, bad: 1 };

/** How far the usual share may be above its estimate, in standard deviations. */
const CONFIDENCE_DEVIATIONS = 2.5;

const MAX_SHARE = 0.99;

/** The share of failures that the old version may well have. */
function estimateUsualShare({ answers, bad }: AnswerCounts): number {
  const count = answers + PRIOR.answers;
  const share = (bad + PRIOR.bad) / count;
  const deviation = Math.sqrt((share * (1 - share)) / count);
  return Math.min(MAX_SHARE, share + CONFIDENCE_DEVIATIONS * deviation);
}

function computeLogRatio({ answers, bad }: AnswerCounts, usual: number, suspected: number): number {
  const good = answers - bad;
  return bad * Math.log(suspected / usual) + good * Math.log((1 - suspected) / (1 - usual));
}

/** How much better a version that fails this much more often explains the answers than the usual. */
export function computeExcessLogRatio({ previous, next }: VersionCounts, excess: number): number {
  const usual = estimateUsualShare(previous);
  const suspected = Math.min(MAX_SHARE, usual + excess);
  return suspected > usual ? computeLogRatio(next, usual, suspected) : 0;
}

/** The strongest evidence that the new version is worse, as a log ratio. */
export function scoreExcess(counts: VersionCounts): number {
  return Math.max(...EXCESS_FAILURE_SHARES.map((excess) => computeExcessLogRatio(counts, excess)));
}

/** True if the new version is worse than the old one. */
export function isWorse(counts: VersionCounts): boolean {
  return scoreExcess(counts) >= VERDICT_LOG_RATIO;
}

/** True if the new version has had enough answers to exclude that it is much worse. */
export function isProven(counts: VersionCounts): boolean {
  return computeExcessLogRatio(counts, EXCLUDED_EXCESS) <= PROVEN_LOG_RATIO;
}

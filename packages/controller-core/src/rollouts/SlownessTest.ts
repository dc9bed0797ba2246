/**
 * Tells whether a new version is several times slower than the old one, from the shares of slow answers
 * of both on one route.
 *
 * A machine that runs other software beside is slow for some hundred milliseconds, and while one
 * instance serves all requests of the new version these are many slow answers at once that say nothing
 * about the version. So the answers are taken in slices of time, each slice counts for an amount that is
 * bounded by its length, and only several slices in a row are a verdict. Slices in which the version is as
 * fast as usual count against that, but never below 0: a version may become slow late. Beside it runs a
 * test of all answers, which finds a version that is slow from the start and not in each answer.
 */
import type { AnswerCounts, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { computeExcessLogRatio, VERDICT_LOG_RATIO } from './judgeVersion.js';
import type { VersionCounts } from './RolloutLedger.js';

/** Longer than the slow periods of a machine. */
const SLICE_MILLISECONDS: Milliseconds = 800;

const MIN_ANSWERS_IN_SLICE = 3;

/** How many slices in a row make a verdict at least. */
const MIN_SLICES = 4;

const MAX_SLICE_LOG_RATIO = VERDICT_LOG_RATIO / MIN_SLICES;

/** Answers of one slow period of a machine say little more than one of them. */
const SLOW_PERIOD_MILLISECONDS: Milliseconds = 600;

/** More answers than this in a slow period come from several instances. */
const MAX_ANSWERS_PER_OBSERVATION = 3;

/** How much more often a version that is several times slower is slow. */
const EXCESS_SLOW_SHARE = 0.4;

function slowCounts({ timed = 0, slow = 0 }: AnswerCounts): AnswerCounts {
  return { answers: timed, bad: slow };
}

export class SlownessTest {
  private total = 0;

  private sliceCount = 0;

  private begun: { readonly at: MonotonicMilliseconds; readonly answers: number } | undefined;

  private whole = 0;

  private answers = 0;

  private slice: { readonly since: MonotonicMilliseconds; readonly next: AnswerCounts } | undefined;

  /** The evidence that the version is slower, as a log ratio of at least 0. */
  get score(): number {
    return Math.max(this.total, this.sliceCount < MIN_SLICES ? 0 : this.whole);
  }

  advance(now: MonotonicMilliseconds, { previous, next }: VersionCounts): void {
    this.answers = next.timed ?? 0;
    const counts = { previous: slowCounts(previous), next: slowCounts(next) };
    this.slice ??= { since: now, next: counts.next };
    this.begun ??= { at: now, answers: counts.next.answers };
    const { since, next: before } = this.slice;
    const answers = counts.next.answers - before.answers;
    if (now - since < SLICE_MILLISECONDS || answers < MIN_ANSWERS_IN_SLICE) return;
    const inSlice = { answers, bad: counts.next.bad - before.bad };
    const ratio = this.testAnswers(now, { ...counts, next: inSlice });
    const bound = MAX_SLICE_LOG_RATIO * Math.floor((now - since) / SLICE_MILLISECONDS);
    this.total = Math.max(0, this.total + Math.max(-bound, Math.min(bound, ratio)));
    this.sliceCount += 1;
    this.whole = this.testAnswers(now, counts);
    this.slice = { since: now, next: counts.next };
  }

  /** The log ratio, less where the answers of one slow period are many. */
  private testAnswers(now: MonotonicMilliseconds, counts: VersionCounts): number {
    const { at, answers } = this.begun ?? { at: now, answers: 0 };
    const perMillisecond = (this.answers - answers) / (now - at);
    const inSlowPeriod = perMillisecond * SLOW_PERIOD_MILLISECONDS;
    const ratio = computeExcessLogRatio(counts, EXCESS_SLOW_SHARE);
    return ratio / Math.min(MAX_ANSWERS_PER_OBSERVATION, 1 + inSlowPeriod);
  }
}

/**
 * Decides the next step of a roll-out.
 *
 * A version may turn bad late or under load only, and what it was given until then counts. So it keeps
 * a small share for more than half of the time, gets a larger one for a moment, and then everything,
 * early enough that all answers of the old version end in time.
 */
import type { Milliseconds, Rollout } from '@hornbeampond/schema';
import { addVersions, NO_VERSION_ANSWERS, type VersionCounts } from './RolloutLedger.js';
import { isProven, isWorse, scoreExcess, VERDICT_LOG_RATIO } from './judgeVersion.js';

/**
 * The next share, from a time on as a fraction of the duration if the new version is proven, or at
 * the latest. The first share comes with the order.
 */
const STEPS = [
  { share: 0.3, from: 0.44, latest: 0.48 },
  { share: 1, from: 0.56, latest: 0.7 },
] as const;

/**
 * A pool with little traffic gets to its second share early: the new version would have too few
 * answers to be judged by, and some more of them do little harm.
 */
const EARLY_FRACTION = 0.25;
const MAX_ANSWERS_FOR_EARLY_STEP = 15;

/** From here on the roll-out ends even if answers of the old version are in progress. */
const LAST_END_FRACTION = 0.76;

/**
 * Each share is in force for at least this fraction of the duration, also where steps are overdue
 * after a loss of power: the answers at one share say little about a larger one.
 */
const MIN_SHARE_FRACTION = 0.1;

/** Attempts without an answer from which on the new version is taken for one that may hang. */
const MIN_SILENCES = 10;

export interface RolloutObservation {
  readonly elapsed: Milliseconds;
  readonly byRoute: ReadonlyMap<string, VersionCounts>;
  /** Number of live instances of the new version. */
  readonly nextInstances: number;
  /** Attempts at the new version that ended without an answer. */
  readonly silences: number;
  /** The route on which the new version is slower than the old one most clearly; see `SlownessTest`. */
  readonly slowest?: { readonly route: string; readonly score: number };
  /** For how long the share has been known to be in force. */
  readonly shareHeldFor: Milliseconds;
  /** True if all entries apply the share in force and none uses the old version any more. */
  readonly isPreviousIdle: boolean;
}

export type RolloutStep = Pick<Rollout, 'phase' | 'share'> & { readonly reason: string };

/** Above this score a version is taken back if there is no time for more answers. */
const DOUBTFUL_SCORE = VERDICT_LOG_RATIO * 0.66;

/**
 * A step is taken later by this fraction of the duration if the new version may be worse, and by more if
 * that is nearly clear. Scores are log ratios.
 */
const HOLDS = [
  { score: DOUBTFUL_SCORE, fraction: 0.12 },
  { score: VERDICT_LOG_RATIO * 0.25, fraction: 0.06 },
] as const;

/** Scores of slowness vary more from one moment to the next. */
const SLOWNESS_WEIGHT = 2 / 3;

/** What the answers say of the new version. */
interface Assessment {
  readonly answers: number;
  /** The strongest evidence that it is worse. */
  readonly score: number;
  /** True if there are enough answers, and none speak against it. */
  readonly isGood: boolean;
}

function assess({ byRoute, slowest }: RolloutObservation): Assessment {
  const allRoutes = [...byRoute.values()].reduce(addVersions, NO_VERSION_ANSWERS);
  const counts = [allRoutes, ...byRoute.values()];
  const score = Math.max((slowest?.score ?? 0) * SLOWNESS_WEIGHT, ...counts.map(scoreExcess));
  const isSuspected = HOLDS.some((hold) => score > hold.score);
  const isGood = !isSuspected && counts.every(isProven);
  return { answers: allRoutes.next.answers, score, isGood };
}

function findVerdict({ byRoute, slowest }: RolloutObservation): string | undefined {
  if (slowest !== undefined && slowest.score >= VERDICT_LOG_RATIO) {
    return `several times slower on route ${slowest.route}`;
  }
  const worse = [...byRoute].find(([, counts]) => isWorse(counts));
  if (worse !== undefined) return `worse on route ${worse[0]}`;
  const allRoutes = [...byRoute.values()].reduce(addVersions, NO_VERSION_ANSWERS);
  return isWorse(allRoutes) ? 'worse on all routes' : undefined;
}

/** The next share, if it is time for it. */
function findStep(
  { duration, share }: Rollout,
  { elapsed, shareHeldFor }: RolloutObservation,
  { answers, score, isGood }: Assessment,
): RolloutStep | undefined {
  const step = STEPS.find((next) => next.share > share);
  if (step === undefined || shareHeldFor < MIN_SHARE_FRACTION * duration) return undefined;
  const hold = HOLDS.find((known) => score > known.score);
  const isEarly = step === STEPS[0] && answers < MAX_ANSWERS_FOR_EARLY_STEP;
  const usualFraction = isGood ? step.from : step.latest;
  const plannedFraction = isEarly ? EARLY_FRACTION : usualFraction;
  const fraction = hold === undefined ? plannedFraction : step.latest + hold.fraction;
  if (elapsed < duration * fraction) return undefined;
  const reason = isGood ? 'answers are as good' : 'no answers speak against it';
  return { phase: 'running', share: step.share, reason };
}

/** Undefined while the roll-out goes on as it is. */
export function decideRollout(
  rollout: Rollout,
  observation: RolloutObservation,
): RolloutStep | undefined {
  const { duration, share } = rollout;
  const { elapsed, nextInstances, silences, isPreviousIdle } = observation;
  const rollBack = (reason: string): RolloutStep => ({ phase: 'rolledBack', share: 0, reason });
  const verdict = findVerdict(observation);
  if (verdict !== undefined) return rollBack(verdict);
  if (nextInstances === 0) {
    return elapsed < duration ? undefined : rollBack('no instance of the new version came');
  }
  const assessment = assess(observation);
  const isTimeUp = elapsed >= LAST_END_FRACTION * duration;
  if (silences >= MIN_SILENCES && silences > assessment.answers) {
    return isTimeUp ? rollBack('the new version does not answer') : undefined;
  }
  if (isTimeUp && assessment.score > DOUBTFUL_SCORE) return rollBack('doubtful when time is up');
  const step = findStep(rollout, observation, assessment);
  if (step !== undefined) return step;
  return share === 1 && ((isPreviousIdle && assessment.isGood) || isTimeUp)
    ? { phase: 'done', share: 1, reason: isPreviousIdle ? 'old version idle' : 'time is up' }
    : undefined;
}

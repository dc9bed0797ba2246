/**
 * Decides the next step of a roll-out.
 *
 * A version may turn bad late or under load only, and what it was given until then counts. So it keeps
 * a small share for more than half of the time, gets a larger one for a moment, and then everything,
 * early enough that all answers of the old version end in time.
 */
import type { Milliseconds, Rollout } from '@hornbeampond/schema';
import { addVersions, NO_VERSION_ANSWERS, type VersionCounts } from './RolloutLedger.js';
import { isProven, isWorse } from './judgeVersion.js';

/**
 * The next share, from a time on as a fraction of the duration if the new version is proven, or at
 * the latest. The first share comes with the order.
 */
const STEPS = [
  { share: 0.3, from: 0.46, latest: 0.56 },
  { share: 1, from: 0.6, latest: 0.75 },
] as const;

/**
 * A pool with little traffic gets to its second share early: the new version would have too few
 * answers to be judged by, and some more of them do little harm.
 */
const EARLY_FRACTION = 0.25;
const MAX_ANSWERS_FOR_EARLY_STEP = 15;

/** From here on the roll-out ends even if answers of the old version are in progress. */
const LAST_END_FRACTION = 0.88;

export interface RolloutObservation {
  readonly elapsed: Milliseconds;
  readonly byRoute: ReadonlyMap<string, VersionCounts>;
  /** Number of live instances of the new version. */
  readonly nextInstances: number;
  /** True if all entries apply the share in force and none uses the old version any more. */
  readonly isPreviousIdle: boolean;
}

export type RolloutStep = Pick<Rollout, 'phase' | 'share'> & { readonly reason: string };

/** Undefined while the roll-out goes on as it is. */
export function decideRollout(
  { duration, share }: Rollout,
  { elapsed, byRoute, nextInstances, isPreviousIdle }: RolloutObservation,
): RolloutStep | undefined {
  const worse = [...byRoute].find(([, counts]) => isWorse(counts));
  if (worse !== undefined) {
    return { phase: 'rolledBack', share: 0, reason: `worse on route ${worse[0]}` };
  }
  const allRoutes = [...byRoute.values()].reduce(addVersions, NO_VERSION_ANSWERS);
  if (isWorse(allRoutes)) return { phase: 'rolledBack', share: 0, reason: 'worse on all routes' };
  if (nextInstances === 0) {
    if (elapsed < duration) return undefined;
    return { phase: 'rolledBack', share: 0, reason: 'no instance of the new version came' };
  }
  const isGood = isProven(allRoutes) && [...byRoute.values()].every(isProven);
  const step = STEPS.find((next) => next.share > share);
  const isEarly = step === STEPS[0] && allRoutes.next.answers < MAX_ANSWERS_FOR_EARLY_STEP;
  const usualFraction = isGood ? step?.from : step?.latest;
  const fraction = isEarly ? EARLY_FRACTION : usualFraction;
  if (step !== undefined && elapsed >= duration * (fraction ?? 1)) {
    return { phase: 'running', share: step.share, reason: 'answers are as good' };
  }
  const mayEnd = (isPreviousIdle && isGood) || elapsed >= LAST_END_FRACTION * duration;
  return share === 1 && mayEnd
    ? { phase: 'done', share: 1, reason: isPreviousIdle ? 'old version idle' : 'time is up' }
    : undefined;
}

/** Whether a simulated roll-out kept its bounds. */
import type { Milliseconds } from '@hornbeampond/schema';
import type { RolloutOutcome, RolloutScenario } from './RolloutScenario.js';

/** A bad version gets at most this share of its service’s requests, and so many more. */
const EXPOSURE_LIMIT = 0.1;
const EXPOSURE_SLACK = 50;

const MAX_TIME_AFTER_FIFTIETH: Milliseconds = 5000;

/** A good version is done before this fraction of its time. */
const DONE_FRACTION = 0.8;

export type OutcomeFault = 'wrong verdict' | 'too exposed' | 'taken back late' | 'done late';

export function isBadVersion(scenario: RolloutScenario, { pool }: RolloutOutcome): boolean {
  const service = scenario.services.find((known) => known.pool === pool);
  const { failureShare = 0, slowFactor = 1 } = service?.version ?? {};
  return failureShare > 0 || slowFactor > 1;
}

export function judgeOutcome(
  scenario: RolloutScenario,
  outcome: RolloutOutcome,
  doneFraction = DONE_FRACTION,
): OutcomeFault[] {
  const { phase, elapsed, exposure, total, afterFiftieth = 0 } = outcome;
  if (!isBadVersion(scenario, outcome)) {
    if (phase !== 'done') return ['wrong verdict'];
    return elapsed < doneFraction * scenario.duration ? [] : ['done late'];
  }
  const faults: OutcomeFault[] = phase === 'rolledBack' ? [] : ['wrong verdict'];
  if (exposure > EXPOSURE_LIMIT * total + EXPOSURE_SLACK) faults.push('too exposed');
  if (afterFiftieth > MAX_TIME_AFTER_FIFTIETH) faults.push('taken back late');
  return faults;
}

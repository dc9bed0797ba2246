/**
 * What the recovery of streams is worth: the entry's policy against plain baselines, under the same
 * seeded waves, in one run, in virtual time. See docs/design/streams-and-retries.md.
 */
import { fullRecoveryPolicy, type RecoveryPolicy } from '@hornbeampond/entry-core';
import {
  findFailedHarmlessCallers,
  runPoisonBatch,
  runRetryStorm,
  runFaultScenario,
  type FaultScenarioOutcome,
} from '@hornbeampond/entry-core/driver';

const SEEDS = [1, 2, 3, 4, 5, 6];
const STORM_REQUESTS = 300;

/** One line of the comparison. */
export interface StreamsRow {
  readonly scenario: 'waves' | 'waves, hosts vanish' | 'poison' | 'storm';
  readonly policy: string;
  readonly figures: Readonly<Record<string, number>>;
}

const wavePolicies: Readonly<Record<string, RecoveryPolicy>> = {
  full: fullRecoveryPolicy,
  'resume, no move': { ...fullRecoveryPolicy, moveCaches: false },
  'resume, notices ignored': { ...fullRecoveryPolicy, moveCaches: false, migrateOnNotice: false },
  'redo from the start': {
    ...fullRecoveryPolicy,
    moveCaches: false,
    migrateOnNotice: false,
    resumeFromOffset: false,
  },
  'redo, no budget': {
    limitRetries: false,
    migrateOnNotice: false,
    moveCaches: false,
    resumeFromOffset: false,
    isolateSuspects: false,
  },
};

function total(
  outcomes: readonly FaultScenarioOutcome[],
  of: (outcome: FaultScenarioOutcome) => number,
): number {
  return outcomes.reduce((sum, outcome) => sum + of(outcome), 0);
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

function measureWaves(policy: string, recovery: RecoveryPolicy, vanish: boolean): StreamsRow {
  const outcomes = SEEDS.map((seed) => runFaultScenario(recovery, seed, vanish));
  const requests = total(outcomes, (outcome) => outcome.requests);
  const recomputed = total(
    outcomes,
    (outcome) => outcome.extraPrefilledTokens + outcome.extraDecodedTokens,
  );
  const shares = outcomes.map((outcome) => outcome.completed / outcome.requests);
  return {
    scenario: vanish ? 'waves, hosts vanish' : 'waves',
    policy,
    figures: {
      requests,
      wholeOnTimeShare: round(total(outcomes, (outcome) => outcome.completed) / requests),
      worstSeedShare: round(Math.min(...shares)),
      prefilledAgain: total(outcomes, (outcome) => outcome.extraPrefilledTokens),
      decodedAgain: total(outcomes, (outcome) => outcome.extraDecodedTokens),
      recomputedShare: round(recomputed / total(outcomes, (outcome) => outcome.requiredTokens)),
      meanWholeMilliseconds: Math.round(
        total(outcomes, (outcome) => outcome.meanCompletionMilliseconds) / SEEDS.length,
      ),
      violations: total(outcomes, (outcome) => outcome.violations),
    },
  };
}

function measurePoison(engines: number, suspectsApart: boolean): StreamsRow {
  const world = runPoisonBatch({ engines, isolateSuspects: suspectsApart });
  return {
    scenario: 'poison',
    policy: `suspects ${suspectsApart ? 'apart' : 'together'}, ${engines} engines`,
    figures: {
      enginesLost: world.countLostEngines(),
      innocentsRefused: findFailedHarmlessCallers(world).length,
      violations: world.findViolations().length,
    },
  };
}

function measureStorm(budgets: boolean): StreamsRow {
  const world = runRetryStorm(STORM_REQUESTS, budgets);
  return {
    scenario: 'storm',
    policy: budgets ? 'budget' : 'no budget',
    figures: {
      requests: STORM_REQUESTS,
      retries: world.entry.count('retries/backendServerBusy'),
      refusedByBudget: world.entry.count('retriesRefused/budgetSpent'),
    },
  };
}

/** Runs every comparison; the same figures come out each time. */
export async function measureStreams(): Promise<StreamsRow[]> {
  return [
    ...[false, true].flatMap((vanish) =>
      Object.entries(wavePolicies).map(([name, policy]) => measureWaves(name, policy, vanish)),
    ),
    ...[3, 6].flatMap((engines) => [measurePoison(engines, true), measurePoison(engines, false)]),
    measureStorm(true),
    measureStorm(false),
  ];
}

/** Simulates a thousand seeded roll-outs, and tabulates them by kind of version and by fault. */
import {
  Measurement,
  type Cell,
  type MeasurementContext,
  type MeasurementResult,
} from '../capacity/Measurement.js';
import { isBadVersion, judgeOutcome, type OutcomeFault } from './judgeOutcome.js';
import type { RolloutOutcome } from './RolloutScenario.js';
import { RolloutSimulation } from './RolloutSimulation.js';
import { drawScenario, type NamedScenario } from './scenarios.js';

const ROLLOUTS = 1000;
const PROGRESS_EVERY = 100;

interface JudgedOutcome {
  readonly scenario: NamedScenario;
  readonly outcome: RolloutOutcome;
  readonly isBad: boolean;
  readonly faults: readonly OutcomeFault[];
}

function simulate(seed: number, number: number): JudgedOutcome[] {
  const scenario = drawScenario(seed, number);
  return new RolloutSimulation(scenario).run().map((outcome) => ({
    scenario,
    outcome,
    isBad: isBadVersion(scenario, outcome),
    faults: judgeOutcome(scenario, outcome),
  }));
}

function highest(values: readonly number[]): Cell {
  return values.length === 0 ? '' : Math.max(...values);
}

function count(outcomes: readonly JudgedOutcome[], fault: OutcomeFault): number {
  return outcomes.filter(({ faults }) => faults.includes(fault)).length;
}

function describeGroup(name: string, outcomes: readonly JudgedOutcome[]) {
  const bad = outcomes.filter(({ isBad }) => isBad).map(({ outcome }) => outcome);
  const good = outcomes.filter(({ isBad }) => !isBad);
  const beyondSlack = bad.map(({ exposure, total }) => Math.max(0, exposure - 50) / total);
  return {
    kind: name,
    rollouts: outcomes.length,
    wrongVerdicts: count(outcomes, 'wrong verdict'),
    tooExposed: count(outcomes, 'too exposed'),
    takenBackLate: count(outcomes, 'taken back late'),
    doneLate: count(outcomes, 'done late'),
    highestExposureBeyond50: highest(beyondSlack),
    mostBadAnswers: highest(bad.map(({ badAnswers }) => badAnswers)),
    longestAfterFiftiethMs: highest(bad.flatMap(({ afterFiftieth }) => afterFiftieth ?? [])),
    latestDoneFraction: highest(
      good.map(({ outcome, scenario }) => outcome.elapsed / scenario.duration),
    ),
  };
}

function groupBy(
  outcomes: readonly JudgedOutcome[],
  nameOf: (outcome: JudgedOutcome) => string,
): Readonly<Record<string, Cell>>[] {
  const groups = new Map<string, JudgedOutcome[]>();
  outcomes.forEach((judged) => {
    const name = nameOf(judged);
    groups.set(name, [...(groups.get(name) ?? []), judged]);
  });
  return [...groups].map(([name, group]) => describeGroup(name, group));
}

function describeFault({ scenario, outcome, faults }: JudgedOutcome): Record<string, Cell> {
  const { exposure, total, phase, elapsed, badAnswers } = outcome;
  return {
    rollout: scenario.name,
    faults: faults.join(', '),
    phase,
    elapsedMs: elapsed,
    durationMs: scenario.duration,
    perSecond: scenario.services[0]?.perSecond ?? 0,
    entries: scenario.entries,
    exposure,
    requests: Math.round(total),
    badAnswers,
  };
}

export class RolloutsMeasurement extends Measurement {
  readonly name = 'rollouts';

  readonly summary = 'verdicts, exposure and times of a thousand simulated roll-outs beside faults';

  override readonly mostSeconds = 600;

  async run({ seed, progress }: MeasurementContext): Promise<MeasurementResult> {
    const outcomes = Array.from({ length: ROLLOUTS }, (_, number) => {
      if (number % PROGRESS_EVERY === 0) progress(`${number} of ${ROLLOUTS}`);
      return simulate(seed, number);
    }).flat();
    const faulty = outcomes.filter(({ faults }) => faults.length > 0);
    const result: MeasurementResult = {
      sizes: `${ROLLOUTS} scenarios, 8 to 200 entries, 30 to 300 requests a second, 12 to 60 s`,
      tables: [
        { title: 'by version', rows: groupBy(outcomes, ({ scenario }) => scenario.version) },
        { title: 'by fault beside', rows: groupBy(outcomes, ({ scenario }) => scenario.faultName) },
        { title: 'all', rows: [describeGroup('all', outcomes)] },
        { title: 'out of bounds', rows: faulty.map(describeFault) },
      ],
      slopes: [],
      comparisons: [],
    };
    if (faulty.length === 0) return result;
    return { ...result, violation: `${faulty.length} of ${outcomes.length} are out of bounds` };
  }
}

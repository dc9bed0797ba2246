/**
 * The table of roll-outs: every kind of version and of fault, with rates, durations and numbers of
 * entries drawn from the seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Milliseconds } from '@hornbeampond/schema';
import type { Fault, RolloutScenario, SimulatedVersion } from './RolloutScenario.js';
import { CALL_ROUTE, STREAM_ROUTE } from './RolloutSimulation.js';

/** Draws of one scenario. */
class Draws {
  private readonly random;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  between(least: number, most: number): number {
    return least + (most - least) * uniformFloat64(this.random);
  }

  pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.between(0, values.length))] as Value;
  }
}

const GOOD: SimulatedVersion = { failureShare: 0 };

interface VersionKind {
  readonly name: string;
  readonly make: (draws: Draws, duration: Milliseconds) => SimulatedVersion;
  /** Lower rates and shorter durations have too few answers for the difference. */
  readonly leastPerSecond?: number;
  readonly leastDuration?: Milliseconds;
}

const LATE: Milliseconds = 6000;

const versionKinds: readonly VersionKind[] = [
  { name: 'good', make: () => GOOD },
  { name: 'slow x3', make: () => ({ failureShare: 0, slowFactor: 3 }) },
  { name: 'slow x8', make: () => ({ failureShare: 0, slowFactor: 8 }) },
  {
    name: 'fails 0.05',
    make: () => ({ failureShare: 0.05 }),
    leastPerSecond: 200,
    leastDuration: 30_000,
  },
  { name: 'fails 0.3', make: () => ({ failureShare: 0.3 }) },
  { name: 'fails 1.0', make: () => ({ failureShare: 1 }) },
  {
    name: 'after 6 s',
    make: (draws) => ({ ...drawBad(draws), badFrom: LATE }),
    leastDuration: 12_000,
  },
  { name: 'under load', make: (draws) => ({ ...drawBad(draws), badFromShare: 0.2 }) },
  { name: 'on one route', make: (draws) => ({ ...drawBad(draws), badOnlyOn: STREAM_ROUTE }) },
];

function drawBad(draws: Draws): SimulatedVersion {
  return draws.pick([
    { failureShare: 0.3 },
    { failureShare: 0.5 },
    { failureShare: 1 },
    { failureShare: 0, slowFactor: 3 },
    { failureShare: 0, slowFactor: 8 },
  ]);
}

interface FaultKind {
  readonly name: string;
  readonly make: (draws: Draws, version: SimulatedVersion) => Fault | undefined;
}

const faultKinds: readonly FaultKind[] = [
  { name: 'none', make: () => undefined },
  ...[1, 2, 3].map((step) => ({
    name: `holder killed at step ${step}`,
    make: (draws: Draws): Fault => ({
      type: 'holderKilled',
      step,
      losesStep: draws.pick([true, false]),
    }),
  })),
  {
    name: 'all power lost',
    make: (draws) => ({ type: 'powerLost', at: draws.between(0.05, 0.5), length: 2000 }),
  },
  {
    name: 'stores partitioned',
    make: (draws) => ({ type: 'storesPartitioned', at: draws.between(0.05, 0.6), length: 2000 }),
  },
  { name: 'slow entries', make: () => ({ type: 'slowEntries' }) },
  {
    name: 'new instances reclaimed',
    make: (draws) => ({
      type: 'newInstancesReclaimed',
      at: draws.between(0.05, 0.5),
      length: 1500,
    }),
  },
  {
    name: 'pool replaced',
    make: (draws) => ({ type: 'poolReplaced', at: draws.between(0.05, 0.5), length: 1500 }),
  },
  {
    name: 'route moved',
    make: (draws, { badOnlyOn }) => ({
      type: 'routeMoved',
      at: draws.between(0.1, 0.5),
      // A version that is bad on the moved route only would show nothing any more.
      route: badOnlyOn === STREAM_ROUTE ? CALL_ROUTE : STREAM_ROUTE,
    }),
  },
  { name: 'two roll-outs', make: () => undefined },
];

const TWO_ROLLOUTS = 'two roll-outs';

export interface NamedScenario extends RolloutScenario {
  readonly version: string;
  readonly faultName: string;
}

/** The scenario with this number; the kinds take turns. */
export function drawScenario(seed: number, number: number): NamedScenario {
  const draws = new Draws(seed * 1_000_003 + number);
  const kind = versionKinds[number % versionKinds.length] as VersionKind;
  const faultKind = faultKinds[
    Math.floor(number / versionKinds.length) % faultKinds.length
  ] as FaultKind;
  const duration = Math.max(
    kind.leastDuration ?? 0,
    draws.pick([12_000, 15_000, 20_000, 30_000, 60_000]),
  );
  const perSecond = Math.max(kind.leastPerSecond ?? 0, draws.pick([30, 60, 100, 200, 300]));
  const version = kind.make(draws, duration);
  const usualFailureShare = kind.name === 'fails 0.05' ? 0.002 : draws.pick([0, 0.002, 0.02]);
  const service = { pool: 'drafting', version, perSecond, usualFailureShare };
  const other = { ...service, pool: 'appraising', version: GOOD };
  const fault = faultKind.make(draws, version);
  return {
    name: `${kind.name}, ${faultKind.name}, seed ${seed}/${number}`,
    version: kind.name,
    faultName: faultKind.name,
    seed: seed * 1_000_003 + number,
    entries: draws.pick([8, 16, 32, 67, 128, 200]),
    duration,
    services: faultKind.name === TWO_ROLLOUTS ? [service, other] : [service],
    ...(fault === undefined ? {} : { fault }),
  };
}

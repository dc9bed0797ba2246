/**
 * A noon hour in a minute: steady arrivals of mixed requests while data centres are reclaimed on
 * notice, engines die without one, and connections fall silent. The same seed gives the same
 * arrivals and the same faults whatever the policy.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { RecoveryPolicy } from '../attempts/RetryState.js';
import type { CallerRecord } from './SimulatedEntry.js';
import { makeRequest, SimulatedCluster } from './SimulatedCluster.js';

const DATA_CENTRES = ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'];
const ARRIVALS = 500;
const MOST_GAP_MILLISECONDS = 16;
const REPLACED_AFTER_MILLISECONDS = 6000;
const WHOLE_ANSWER_MILLISECONDS = 25_000;

export interface FaultScenarioOutcome {
  readonly requests: number;
  /** Answers that came whole, and within their deadline. */
  readonly completed: number;
  /** Tokens that engines prefilled or decoded beyond what the requests needed once. */
  readonly extraPrefilledTokens: number;
  readonly extraDecodedTokens: number;
  /** Prompt and answer tokens that were needed once. */
  readonly requiredTokens: number;
  /** What callers waited for a whole answer on average, in milliseconds. */
  readonly meanCompletionMilliseconds: number;
  readonly violations: number;
}

function makeTraffic(random: RandomGenerator, number: number) {
  const early = uniformInt(random, 0, 2) === 0 ? 'early' : 'full';
  return makeRequest(`request-${number}`, {
    digest: `digest-${number}-${early}`,
    promptTokens: uniformInt(random, 200, 3000),
    maxTokens: uniformInt(random, 100, 800),
  });
}

function aliveIn(world: SimulatedCluster, dataCentre: string): string[] {
  return [...world.engines.values()]
    .filter((engine) => engine.dataCentre === dataCentre && engine.alive)
    .map(({ instance }) => instance);
}

/** New engines come some time after old ones have gone. */
function replace(world: SimulatedCluster, instances: readonly string[], dataCentre: string): void {
  world.schedule(REPLACED_AFTER_MILLISECONDS, () => {
    instances.forEach((instance) => world.addEngine(`${instance}-next`, dataCentre));
  });
}

function reclaimOne(world: SimulatedCluster, random: RandomGenerator): void {
  const dataCentre = DATA_CENTRES[uniformInt(random, 0, 3)] ?? '';
  const instances = aliveIn(world, dataCentre);
  world.reclaimByPlatformList(instances, uniformInt(random, 1500, 4000));
  replace(world, instances, dataCentre);
}

function killOne(world: SimulatedCluster, random: RandomGenerator): void {
  const dataCentre = DATA_CENTRES[uniformInt(random, 0, 3)] ?? '';
  const [instance] = aliveIn(world, dataCentre);
  if (instance === undefined) return;
  world.engine(instance).die();
  replace(world, [instance], dataCentre);
}

function silenceOne(world: SimulatedCluster, random: RandomGenerator): void {
  const dataCentre = DATA_CENTRES[uniformInt(random, 0, 3)] ?? '';
  const [instance] = aliveIn(world, dataCentre);
  if (instance === undefined) return;
  world.engine(instance).streams.forEach((stream) => {
    stream.stalled = true;
  });
}

/** Every fault of the minute, at its time. */
function planFaults(world: SimulatedCluster, random: RandomGenerator): void {
  [4000, 16_000, 28_000].forEach((at) => world.schedule(at, () => reclaimOne(world, random)));
  [10_000, 22_000].forEach((at) => world.schedule(at, () => killOne(world, random)));
  world.schedule(13_000, () => silenceOne(world, random));
}

function sum(callers: readonly CallerRecord[], of: (caller: CallerRecord) => number): number {
  return callers.reduce((total, caller) => total + of(caller), 0);
}

function measure(world: SimulatedCluster): FaultScenarioOutcome {
  const callers = world.callers();
  const engines = [...world.engines.values()];
  const prompt = sum(callers, ({ request }) => request.promptTokens);
  const answer = sum(callers, ({ tokens }) => tokens.length);
  const whole = callers.filter(({ finalAnswers: finals }) => finals[0]?.type === 'whole');
  const waited = sum(
    whole,
    ({ finalAnswers: finals, arrivedAt }) => (finals[0]?.at ?? 0) - arrivedAt,
  );
  return {
    requests: callers.length,
    completed: whole.length,
    extraPrefilledTokens: engines.reduce(
      (total, engine) => total + engine.prefilledTokens,
      -prompt,
    ),
    extraDecodedTokens: engines.reduce((total, engine) => total + engine.decodedTokens, -answer),
    requiredTokens: prompt + answer,
    meanCompletionMilliseconds: waited / Math.max(1, whole.length),
    violations: world.findViolations().length,
  };
}

/** With `vanish`, engines that die reset no connections. */
export function runFaultScenario(
  policy: RecoveryPolicy,
  seed: number,
  vanish = false,
): FaultScenarioOutcome {
  const engines = Object.fromEntries(DATA_CENTRES.map((dataCentre) => [dataCentre, 2]));
  const world = new SimulatedCluster({
    engines,
    entries: DATA_CENTRES.length,
    wholeAnswerMilliseconds: WHOLE_ANSWER_MILLISECONDS,
    losesHost: vanish,
  });
  world.entries.forEach((entry) => {
    entry.state.retries.policy = policy;
  });
  const arrivals = xoroshiro128plus(seed);
  planFaults(world, xoroshiro128plus(seed + 1));
  for (let number = 1; number <= ARRIVALS; number += 1) {
    world.entryAt(number % DATA_CENTRES.length).submitRequest(makeTraffic(arrivals, number));
    world.advance(uniformInt(arrivals, 0, MOST_GAP_MILLISECONDS) * 10);
  }
  world.runUntilAnswered();
  return measure(world);
}

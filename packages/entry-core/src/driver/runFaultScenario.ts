/**
 * Simulates steady traffic with faults: data centres are reclaimed with notice, engines die
 * without notice, and connections stall. The seed alone determines the requests and the faults, so
 * that policies can be compared.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { RecoveryPolicy } from '../attempts/RetryState.js';
import type { CallerRecord } from './SimulatedEntry.js';
import { makeRequest, SimulatedCluster } from './SimulatedCluster.js';

const DATA_CENTRES = ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'];
const REQUEST_COUNT = 500;
/** Longest gap between two requests, in steps of the simulation. */
const MAX_GAP_STEPS = 16;
const REPLACEMENT_DELAY_MILLISECONDS = 6000;
const ANSWER_DEADLINE_MILLISECONDS = 25_000;

export interface FaultScenarioOutcome {
  readonly requests: number;
  /** Requests that received a complete answer within their deadline. */
  readonly completed: number;
  /** Tokens that engines prefilled or decoded in addition to those that were required. */
  readonly extraPrefilledTokens: number;
  readonly extraDecodedTokens: number;
  /** Prompt and answer tokens, each counted once. */
  readonly requiredTokens: number;
  /** Mean time from the arrival of a request to its complete answer. */
  readonly meanCompletionMilliseconds: number;
  /** Violated guarantees of callers, such as a second final answer or an incorrect text. */
  readonly violations: number;
}

/**
 * Returns a request of random size. The simulated engine ends its answer at half of `maxTokens` if
 * the digest ends in `early`.
 */
function makeRandomRequest(random: RandomGenerator, number: number) {
  const digestSuffix = uniformInt(random, 0, 2) === 0 ? 'early' : 'full';
  return makeRequest(`request-${number}`, {
    digest: `digest-${number}-${digestSuffix}`,
    promptTokens: uniformInt(random, 200, 3000),
    maxTokens: uniformInt(random, 100, 800),
  });
}

function listAliveInstances(cluster: SimulatedCluster, dataCentre: string): string[] {
  return [...cluster.engines.values()]
    .filter((engine) => engine.dataCentre === dataCentre && engine.alive)
    .map(({ instance }) => instance);
}

/** Adds a replacement for each instance after a delay. */
function scheduleReplacements(
  cluster: SimulatedCluster,
  instances: readonly string[],
  dataCentre: string,
): void {
  cluster.schedule(REPLACEMENT_DELAY_MILLISECONDS, () => {
    instances.forEach((instance) => cluster.addEngine(`${instance}-next`, dataCentre));
  });
}

/** Reclaims all engines of a random data centre with a notice of 1.5 to 4 seconds. */
function reclaimDataCentre(cluster: SimulatedCluster, random: RandomGenerator): void {
  const dataCentre = DATA_CENTRES[uniformInt(random, 0, 3)] ?? '';
  const instances = listAliveInstances(cluster, dataCentre);
  cluster.reclaimByPlatformList(instances, uniformInt(random, 1500, 4000));
  scheduleReplacements(cluster, instances, dataCentre);
}

function killEngine(cluster: SimulatedCluster, random: RandomGenerator): void {
  const dataCentre = DATA_CENTRES[uniformInt(random, 0, 3)] ?? '';
  const [instance] = listAliveInstances(cluster, dataCentre);
  if (instance === undefined) return;
  cluster.engine(instance).die();
  scheduleReplacements(cluster, [instance], dataCentre);
}

function stallStreams(cluster: SimulatedCluster, random: RandomGenerator): void {
  const dataCentre = DATA_CENTRES[uniformInt(random, 0, 3)] ?? '';
  const [instance] = listAliveInstances(cluster, dataCentre);
  if (instance === undefined) return;
  cluster.engine(instance).streams.forEach((stream) => {
    stream.stalled = true;
  });
}

/** Schedules all faults of the scenario. */
function scheduleFaults(cluster: SimulatedCluster, random: RandomGenerator): void {
  [4000, 16_000, 28_000].forEach((at) =>
    cluster.schedule(at, () => reclaimDataCentre(cluster, random)),
  );
  [10_000, 22_000].forEach((at) => cluster.schedule(at, () => killEngine(cluster, random)));
  cluster.schedule(13_000, () => stallStreams(cluster, random));
}

function sum(callers: readonly CallerRecord[], select: (caller: CallerRecord) => number): number {
  return callers.reduce((total, caller) => total + select(caller), 0);
}

function measureOutcome(cluster: SimulatedCluster): FaultScenarioOutcome {
  const callers = cluster.callers();
  const engines = [...cluster.engines.values()];
  const promptTokens = sum(callers, ({ request }) => request.promptTokens);
  const answerTokens = sum(callers, ({ tokens }) => tokens.length);
  const completed = callers.filter(({ finalAnswers }) => finalAnswers[0]?.type === 'whole');
  const totalWait = sum(
    completed,
    ({ finalAnswers, arrivedAt }) => (finalAnswers[0]?.at ?? 0) - arrivedAt,
  );
  return {
    requests: callers.length,
    completed: completed.length,
    extraPrefilledTokens: engines.reduce(
      (total, engine) => total + engine.prefilledTokens,
      -promptTokens,
    ),
    extraDecodedTokens: engines.reduce(
      (total, engine) => total + engine.decodedTokens,
      -answerTokens,
    ),
    requiredTokens: promptTokens + answerTokens,
    meanCompletionMilliseconds: totalWait / Math.max(1, completed.length),
    violations: cluster.findViolations().length,
  };
}

/**
 * Runs the scenario with one policy. With `losesHost`, engines that die reset no connections and
 * leave probes unanswered.
 */
export function runFaultScenario(
  policy: RecoveryPolicy,
  seed: number,
  losesHost = false,
): FaultScenarioOutcome {
  const engines = Object.fromEntries(DATA_CENTRES.map((dataCentre) => [dataCentre, 2]));
  const cluster = new SimulatedCluster({
    engines,
    entries: DATA_CENTRES.length,
    wholeAnswerMilliseconds: ANSWER_DEADLINE_MILLISECONDS,
    enginesDieWithoutReset: losesHost,
  });
  cluster.entries.forEach((entry) => {
    entry.state.retries.policy = policy;
  });
  const requestRandom = xoroshiro128plus(seed);
  scheduleFaults(cluster, xoroshiro128plus(seed + 1));
  for (let number = 1; number <= REQUEST_COUNT; number += 1) {
    cluster
      .entryAt(number % DATA_CENTRES.length)
      .submitRequest(makeRandomRequest(requestRandom, number));
    cluster.advance(uniformInt(requestRandom, 0, MAX_GAP_STEPS) * 10);
  }
  cluster.runUntilAnswered();
  return measureOutcome(cluster);
}

/**
 * Two worlds that tests and measurements share: a batch with one bad request, and a storm of retries.
 */
import { fullRecoveryPolicy } from '../attempts/RetryState.js';
import type { Caller } from './EntryShell.js';
import { makeRequest, World } from './World.js';

/** Digest of the request that crashes its engine. */
export const BAD_DIGEST = 'digest-bad';

export interface PoisonBatch {
  /** Requests, the bad one included. */
  readonly size: number;
  readonly engines: number;
  /** Token of its answer at which the bad request crashes its engine. */
  readonly crashAt: number;
  readonly suspectsApart: boolean;
  /** True if a dead host does not even refuse connections. */
  readonly unreachable: boolean;
  /** True if a dead engine is started again at once, so that its probe is answered. */
  readonly restarts: boolean;
}

export const standardBatch: PoisonBatch = {
  size: 30,
  engines: 6,
  crashAt: 40,
  suspectsApart: true,
  unreachable: false,
  restarts: false,
};

/** Runs a batch of innocent requests and a bad one until all have their final answers. */
export function runPoisonBatch(fields: Partial<PoisonBatch>): World {
  const batch = { ...standardBatch, ...fields };
  const poison = new Map([[BAD_DIGEST, batch.crashAt]]);
  const world = new World({ engines: { 'wien-a': batch.engines }, poison });
  world.engines.forEach((engine) => {
    engine.unreachable = batch.unreachable;
    engine.restarts = batch.restarts;
  });
  const { suspectsApart } = batch;
  world.entry.state.retries.policy = { ...fullRecoveryPolicy, isolateSuspects: suspectsApart };
  for (let number = 1; number < batch.size; number += 1) {
    world.entry.arrive(makeRequest(`request-${number}`));
    world.advance(50);
  }
  world.entry.arrive(makeRequest('bad', { digest: BAD_DIGEST }));
  world.settle();
  return world;
}

/** Innocent callers that did not get their whole answer. */
export function refusedInnocents(world: World): Caller[] {
  return world
    .callers()
    .filter(({ request }) => request.digest !== BAD_DIGEST)
    .filter(({ finals }) => finals[0]?.type !== 'whole');
}

/** Sends `requests` at a steady pace to engines that are all busy. */
export function runRetryStorm(requests: number, budgets: boolean): World {
  const world = new World({ engines: { 'wien-a': 3, 'wien-b': 3 } });
  world.entry.state.retries.policy = { ...fullRecoveryPolicy, limitRetries: budgets };
  world.engines.forEach((engine) => {
    engine.busy = true;
  });
  for (let number = 1; number <= requests; number += 1) {
    world.entry.arrive(makeRequest(`request-${number}`));
    world.advance(20);
  }
  world.settle();
  return world;
}

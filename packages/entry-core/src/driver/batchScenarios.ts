/**
 * Two worlds that tests and measurements share: a batch with one bad request, and a storm of retries.
 */
import { fullRecoveryPolicy } from '../attempts/RetryState.js';
import type { CallerRecord } from './SimulatedEntry.js';
import { makeRequest, SimulatedCluster } from './SimulatedCluster.js';

/** Digest of the request that crashes its engine. */
export const POISON_DIGEST = 'digest-bad';

export interface PoisonBatchOptions {
  /** Requests, the bad one included. */
  readonly size: number;
  readonly engines: number;
  /** Token of its answer at which the bad request crashes its engine. */
  readonly crashAtToken: number;
  readonly isolateSuspects: boolean;
  /** True if a dead host does not even refuse connections. */
  readonly unreachable: boolean;
  /** True if a dead engine is started again at once, so that its probe is answered. */
  readonly restartsImmediately: boolean;
}

export const defaultPoisonBatch: PoisonBatchOptions = {
  size: 30,
  engines: 6,
  crashAtToken: 40,
  isolateSuspects: true,
  unreachable: false,
  restartsImmediately: false,
};

/** Runs a batch of innocent requests and a bad one until all have their final answers. */
export function runPoisonBatch(options: Partial<PoisonBatchOptions>): SimulatedCluster {
  const batch = { ...defaultPoisonBatch, ...options };
  const crashTokenByDigest = new Map([[POISON_DIGEST, batch.crashAtToken]]);
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': batch.engines },
    crashTokenByDigest,
  });
  cluster.engines.forEach((engine) => {
    engine.unreachable = batch.unreachable;
    engine.restartsImmediately = batch.restartsImmediately;
  });
  const { isolateSuspects } = batch;
  cluster.entry.state.retries.policy = { ...fullRecoveryPolicy, isolateSuspects };
  for (let number = 1; number < batch.size; number += 1) {
    cluster.entry.submitRequest(makeRequest(`request-${number}`));
    cluster.advance(50);
  }
  cluster.entry.submitRequest(makeRequest('bad', { digest: POISON_DIGEST }));
  cluster.runUntilAnswered();
  return cluster;
}

/** Innocent callers that did not get their whole answer. */
export function findFailedHarmlessCallers(cluster: SimulatedCluster): CallerRecord[] {
  return cluster
    .callers()
    .filter(({ request }) => request.digest !== POISON_DIGEST)
    .filter(({ finalAnswers }) => finalAnswers[0]?.type !== 'whole');
}

/** Sends `requests` at a steady pace to engines that are all busy. */
export function runRetryStorm(requestCount: number, limitRetries: boolean): SimulatedCluster {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 3, 'wien-b': 3 } });
  cluster.entry.state.retries.policy = { ...fullRecoveryPolicy, limitRetries };
  cluster.engines.forEach((engine) => {
    engine.busy = true;
  });
  for (let number = 1; number <= requestCount; number += 1) {
    cluster.entry.submitRequest(makeRequest(`request-${number}`));
    cluster.advance(20);
  }
  cluster.runUntilAnswered();
  return cluster;
}

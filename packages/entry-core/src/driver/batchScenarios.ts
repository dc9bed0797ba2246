/**
 * Scenarios that tests and measurements share: a batch with one poison request, and a retry storm.
 */
import { fullRecoveryPolicy } from '../attempts/RetryState.js';
import type { CallerRecord } from './SimulatedEntry.js';
import { makeRequest, SimulatedCluster } from './SimulatedCluster.js';

/** Digest of the poison request: it crashes every engine that runs it. */
export const POISON_DIGEST = 'digest-bad';

export interface PoisonBatchOptions {
  /** Number of requests, including the poison request. */
  readonly size: number;
  readonly engines: number;
  /** Token position at which the poison request crashes its engine. */
  readonly crashAtToken: number;
  readonly isolateSuspects: boolean;
  /** True if probes of a dead engine time out instead of being refused. */
  readonly unreachable: boolean;
  /** True if a crashed engine restarts immediately, so that it answers its probe. */
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

/** Runs a batch of harmless requests and one poison request until all have a final answer. */
export function runPoisonBatch(options: Partial<PoisonBatchOptions>): SimulatedCluster {
  const batch = { ...defaultPoisonBatch, ...options };
  const crashTokenByDigest = new Map([[POISON_DIGEST, batch.crashAtToken]]);
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': batch.engines },
    crashTokenByDigest,
  });
  cluster.engines.forEach((engine) => {
    engine.unreachableWhenDead = batch.unreachable;
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

/** Returns the callers of harmless requests that did not receive a complete answer. */
export function findFailedHarmlessCallers(cluster: SimulatedCluster): CallerRecord[] {
  return cluster
    .callers()
    .filter(({ request }) => request.digest !== POISON_DIGEST)
    .filter(({ finalAnswers }) => finalAnswers[0]?.type !== 'whole');
}

/** Sends requests at a constant rate to engines that reject everything as busy. */
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

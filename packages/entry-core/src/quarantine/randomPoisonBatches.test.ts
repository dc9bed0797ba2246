import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  POISON_DIGEST,
  makeRequest,
  findFailedHarmlessCallers,
  SimulatedCluster,
} from '../driver/index.js';

const BATCH_SIZE = 30;

/**
 * A batch with one poison request, sent through several entries, and the resends of that request.
 */
interface Batch {
  readonly crashAtToken: number;
  readonly entries: number;
  readonly engines: number;
  readonly spacingMilliseconds: number;
  readonly poisonPosition: number;
  readonly unreachable: boolean;
  readonly resends: readonly { readonly delayMilliseconds: number; readonly entry: number }[];
}

const batchArbitrary: fc.Arbitrary<Batch> = fc.record({
  crashAtToken: fc.integer({ min: 0, max: 180 }),
  entries: fc.integer({ min: 1, max: 4 }),
  engines: fc.integer({ min: 4, max: 8 }),
  spacingMilliseconds: fc.integer({ min: 0, max: 200 }),
  poisonPosition: fc.integer({ min: 0, max: BATCH_SIZE - 1 }),
  unreachable: fc.boolean(),
  resends: fc.array(
    fc.record({
      delayMilliseconds: fc.integer({ min: 0, max: 4000 }),
      entry: fc.integer({ min: 0, max: 3 }),
    }),
    { maxLength: 3 },
  ),
});

function countDeaths(cluster: SimulatedCluster): number {
  return [...cluster.engines.values()].reduce((sum, { deaths }) => sum + deaths, 0);
}

function makeCluster(batch: Batch, restartsImmediately: boolean): SimulatedCluster {
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': batch.engines },
    entries: batch.entries,
    crashTokenByDigest: new Map([[POISON_DIGEST, batch.crashAtToken]]),
  });
  cluster.engines.forEach((engine) => {
    engine.unreachableWhenDead = batch.unreachable;
    engine.restartsImmediately = restartsImmediately;
  });
  // Let the entries receive reports from each other first.
  cluster.advance(1200);
  return cluster;
}

function sendBatch(cluster: SimulatedCluster, batch: Batch): void {
  for (let number = 0; number < BATCH_SIZE; number += 1) {
    const isPoison = number === batch.poisonPosition;
    const name = isPoison ? 'bad' : `request-${number}`;
    const fields = isPoison
      ? { digest: POISON_DIGEST }
      : { maxTokens: 100 + ((number * 37) % 300) };
    cluster.entryAt(number % batch.entries).submitRequest(makeRequest(name, fields));
    cluster.advance(batch.spacingMilliseconds);
  }
}

/** Shortest time from the first crash until the caller resends. */
const RESEND_DELAY_MILLISECONDS = 300;

function resendPoisonRequest(cluster: SimulatedCluster, batch: Batch): void {
  for (
    let waitedMilliseconds = 0;
    countDeaths(cluster) === 0 && waitedMilliseconds < 15_000;
    waitedMilliseconds += 10
  )
    cluster.advance(10);
  cluster.advance(RESEND_DELAY_MILLISECONDS);
  batch.resends.forEach(({ delayMilliseconds, entry }, position) => {
    const request = makeRequest(`bad-${position}`, { digest: POISON_DIGEST });
    cluster.schedule(delayMilliseconds, () =>
      cluster.entryAt(entry % batch.entries).submitRequest(request),
    );
  });
}

function runBatch(batch: Batch, restartsImmediately: boolean): SimulatedCluster {
  const cluster = makeCluster(batch, restartsImmediately);
  sendBatch(cluster, batch);
  resendPoisonRequest(cluster, batch);
  cluster.runUntilAnswered();
  cluster.advance(4000);
  cluster.runUntilAnswered();
  return cluster;
}

function assertDeathsBounded(batch: Batch, restartsImmediately: boolean, maxDeaths: number): void {
  const cluster = runBatch(batch, restartsImmediately);
  assert.deepEqual(cluster.findViolations(), []);
  assert.deepEqual(findFailedHarmlessCallers(cluster), []);
  assert.equal(countDeaths(cluster) <= maxDeaths, true, `${countDeaths(cluster)} engines crashed`);
}

/** A resend at the entry whose name sorts first, while a peer is still probing. */
const resendDuringProbe: Batch = {
  crashAtToken: 0,
  entries: 3,
  engines: 8,
  spacingMilliseconds: 70,
  poisonPosition: 11,
  unreachable: true,
  resends: [
    { delayMilliseconds: 1, entry: 3 },
    { delayMilliseconds: 1396, entry: 3 },
    { delayMilliseconds: 3345, entry: 2 },
  ],
};

// Guards against a poison request that crashes more than two engines or makes harmless requests
// fail, for random timings of the batch, the crash and the resends through other entries.
test('random batches with one poison request crash at most two engines', () => {
  fc.assert(
    fc.property(batchArbitrary, (batch) => assertDeathsBounded(batch, false, 2)),
    { seed: 11, numRuns: 120, examples: [[resendDuringProbe]] },
  );
});

// The same for engines that restart before their probe. A poison request that runs alone on its
// engine is detected only at its second crash and identified at its third.
test('random batches with one poison request cause at most three crashes if engines restart immediately', () => {
  fc.assert(
    fc.property(batchArbitrary, (batch) => assertDeathsBounded(batch, true, 3)),
    { seed: 12, numRuns: 120 },
  );
});

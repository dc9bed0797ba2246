import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { StoreCluster } from './testing/StoreCluster.js';

const UNREACHABLE_STORE_TIMEOUT_MILLISECONDS = 1500;

let cluster: StoreCluster;

beforeEach(async () => {
  const dataCentres = ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'];
  cluster = await StoreCluster.start(dataCentres, UNREACHABLE_STORE_TIMEOUT_MILLISECONDS);
});

afterEach(async () => {
  await cluster.stop();
  assert.deepEqual(cluster.failures, []);
});

// Guards against a store that never votes again after a cut that was long enough to be taken for gone.
test('a store that was cut off for long is let in again by itself', async () => {
  const leader = await cluster.waitForLeader();
  cluster.links.isolate(leader);
  const next = await cluster.waitForLeader(leader);
  await cluster.waitForVoters(3, next);
  cluster.links.heal(leader);
  await cluster.waitForVoters(4);
});

// Guards against a restarted store that waits for ever for a leader who has taken it out.
test('a store that was stopped for long is let in again when it starts', async () => {
  const leader = await cluster.waitForLeader();
  const stopped = leader === 'store-4' ? 'store-3' : 'store-4';
  await cluster.close(stopped);
  await cluster.waitForVoters(3, leader);
  await cluster.open(stopped);
  await cluster.waitForVoters(4);
});

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

// Guards against a store that never votes again after a partition long enough for its removal.
test('a store removed during a partition joins again by itself', async () => {
  const leader = await cluster.waitForLeader();
  cluster.links.isolate(leader);
  const next = await cluster.waitForLeader(leader);
  await cluster.waitForVoters(3, next);
  cluster.links.heal(leader);
  await cluster.waitForVoters(4);
});

// Guards against a restarted store that waits for ever for a leader that has removed it.
test('a store removed while it was stopped joins again when it starts', async () => {
  const leader = await cluster.waitForLeader();
  const stopped = leader === 'store-4' ? 'store-3' : 'store-4';
  await cluster.close(stopped);
  await cluster.waitForVoters(3, leader);
  await cluster.open(stopped);
  await cluster.waitForVoters(4);
});

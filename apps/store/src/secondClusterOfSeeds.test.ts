import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { MemoryDisk } from './testing/MemoryDisk.js';
import { StoreCluster } from './testing/StoreCluster.js';

const SEEDS = ['store-1', 'store-2', 'store-3'];
const SILENT_MILLISECONDS = 300;

// Guards against a store that founds a second cluster with another empty seed, although a member that
// is no seed runs and is connected to both.
test('two seeds with empty disks found nothing beside a member that is no seed', async (context) => {
  const dataCentres = ['a', 'b', 'c', 'd', 'e'];
  const cluster = await StoreCluster.start(dataCentres, SILENT_MILLISECONDS, SEEDS);
  context.after(async () => cluster.stop());
  const leader = await cluster.makeLeader('store-4', 'store-5');
  for (const [position, lost] of ['store-1', 'store-2'].entries()) {
    await cluster.close(lost);
    while ((await cluster.readVoters(leader)).length !== 4 - position) await wait(50);
  }
  // The others restart, so nobody leads for a while; their disks hold the cluster.
  await cluster.close('store-3');
  await cluster.close(leader === 'store-4' ? 'store-5' : 'store-4');
  // A leader without a quorum stops leading within this time.
  await wait(1500);
  await cluster.open('store-2', new MemoryDisk());
  await cluster.open('store-1', new MemoryDisk());
  const outcome = await Promise.race([cluster.found('store-1'), wait(3000, 'undecided')]);
  context.diagnostic(`outcome: ${outcome}`);
  context.diagnostic(`voters of ${leader}: ${(await cluster.readVoters(leader)).join(' ')}`);
  context.diagnostic(`voters of store-1: ${(await cluster.readVoters('store-1')).join(' ')}`);
  assert.notEqual(outcome, 'founded');
});

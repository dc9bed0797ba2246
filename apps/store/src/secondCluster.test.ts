/** Stores that may found a cluster, beside others that have one, may found one too, or are not there. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { MemoryDisk } from './testing/MemoryDisk.js';
import { StoreCluster } from './testing/StoreCluster.js';

const DATA_CENTRES = ['wien-a', 'wien-b', 'stpoelten'];
const LEAST_VOTERS = 3;

async function openStores(context: TestContext, instances: readonly string[]) {
  const cluster = StoreCluster.prepare(DATA_CENTRES, LEAST_VOTERS);
  context.after(async () => cluster.stop());
  for (const instance of instances) await cluster.open(instance);
  return cluster;
}

// Guards against a store that leads a cluster of its own beside the real one, after its disk was wiped or replaced
// while its settings still say that it founds.
test('a store with an empty disk joins the cluster that the others have', async (context) => {
  const cluster = await openStores(context, ['store-1', 'store-2', 'store-3']);
  assert.equal(await cluster.found('store-1'), 'founded');
  await cluster.waitForVoters(3);
  await cluster.close('store-1');
  await cluster.open('store-1', new MemoryDisk());
  assert.equal(await cluster.found('store-1'), 'givenUp');
  await cluster.waitForVoters(3);
  assert.equal((await cluster.waitForLeader()) === 'store-1', false);
});

// Guards against a store whose disk was refused, and that founds while the others have empty disks or are silent.
test('a disk that was used founds nothing', async (context) => {
  const cluster = await openStores(context, ['store-2', 'store-3']);
  const disk = new MemoryDisk();
  disk.wasUsed = true;
  await cluster.open('store-1', disk);
  assert.equal(await cluster.found('store-1'), 'givenUp');
  assert.equal(await cluster.found('store-2'), 'givenUp');
});

// Guards against two clusters whose founders have settings with other first seeds.
test('of two stores that may found at once, one does', async (context) => {
  for (let round = 0; round < 5; round += 1) {
    const cluster = await openStores(context, ['store-1', 'store-2', 'store-3']);
    const outcomes = await Promise.all(
      ['store-1', 'store-2', 'store-3'].map(async (instance) => cluster.found(instance)),
    );
    assert.deepEqual([...outcomes].sort(), ['founded', 'givenUp', 'givenUp']);
    await cluster.waitForVoters(3);
  }
});

test('with one seed gone, the store founds after a second', async (context) => {
  const cluster = await openStores(context, ['store-1', 'store-2']);
  const startedAt = performance.now();
  assert.equal(await cluster.found('store-1'), 'founded');
  const waited = performance.now() - startedAt;
  assert.ok(waited >= 1000, `founded after ${waited} ms`);
  await cluster.waitForVoters(2);
});

// Guards against a store that founds alone while the others have only not started yet, or have a cluster and are out
// of reach.
test('a store that no other one answers goes on asking', async (context) => {
  const cluster = await openStores(context, ['store-1', 'store-2']);
  cluster.links.isolate('store-1');
  let outcome: string | undefined;
  const founding = cluster.found('store-1').then((ended) => {
    outcome = ended;
  });
  await wait(1500);
  assert.equal(outcome, undefined);
  cluster.links.heal('store-1');
  await founding;
  assert.equal(outcome, 'founded');
  await cluster.waitForVoters(2);
});

// Guards against a deployment that nobody founds, since its founder was ended too early.
test('a founder that is started again before it has founded does so then', async (context) => {
  const cluster = await openStores(context, ['store-1']);
  const first = cluster.found('store-1');
  await wait(100);
  await cluster.close('store-1');
  assert.equal(await first, 'stopped');
  await cluster.open('store-1');
  await cluster.open('store-2');
  await cluster.open('store-3');
  assert.equal(await cluster.found('store-1'), 'founded');
  await cluster.waitForVoters(3);
});

// Guards against a founder that is ended between its vote and its first entry, and then neither founds nor joins.
test('a founder whose disk holds nothing but its vote founds again', async (context) => {
  const disk = new MemoryDisk();
  const { restored } = await disk.open('store-1');
  const vote = { term: 1, votedFor: restored.self.identity };
  await disk.write({ type: 'persist', batch: 1, vote, entries: [] });
  const cluster = await openStores(context, ['store-2', 'store-3']);
  await cluster.open('store-1', disk);
  assert.equal(await cluster.found('store-1'), 'founded');
  await cluster.waitForVoters(3);
});

import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { MemoryDisk } from './testing/MemoryDisk.js';
import { StoreCluster, waitFor } from './testing/StoreCluster.js';

const UNREACHABLE_STORE_TIMEOUT_MILLISECONDS = 1500;

const FOUR_DATA_CENTRES = ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'];
const FIVE_DATA_CENTRES = [...FOUR_DATA_CENTRES, 'wien-a'];
const EIGHT_DATA_CENTRES = [...FOUR_DATA_CENTRES, ...FOUR_DATA_CENTRES];

let cluster: StoreCluster | undefined;

async function startCluster(
  dataCentres: readonly string[],
  seeds?: readonly string[],
): Promise<StoreCluster> {
  cluster = await StoreCluster.start(dataCentres, UNREACHABLE_STORE_TIMEOUT_MILLISECONDS, seeds);
  return cluster;
}

afterEach(async () => {
  await cluster?.stop();
  assert.deepEqual(cluster?.failures, []);
});

/** Waits until exactly these are the voters by the log of one store; before it joins it has none. */
async function waitForVoterNames(
  stores: StoreCluster,
  observer: string,
  names: readonly string[],
): Promise<void> {
  const expected = names.toSorted();
  await waitFor(`the voters ${expected.join(', ')}`, async () => {
    const voters = [...(await stores.readVoters(observer))].sort();
    return voters.join() === expected.join() ? true : undefined;
  });
}

// Only the leader adds stores, and no setting names it. Guards against a store that asks its seeds alone
// and so never joins, each such loss a voter less.
test('a store with a lost disk joins when the leader of four stores is not among the seeds', async () => {
  const stores = await startCluster(FOUR_DATA_CENTRES, ['store-1', 'store-2', 'store-3']);
  await stores.makeLeader('store-4');
  for (const instance of ['store-2', 'store-3', 'store-1']) {
    await stores.close(instance);
    await stores.open(instance, new MemoryDisk());
    await stores.waitForVoters(4);
  }
});

// Guards against the same in larger deployments, where most stores are named by no seed.
test('a store with a lost disk joins when the leader of eight stores is not among the seeds', async () => {
  const stores = await startCluster(EIGHT_DATA_CENTRES, ['store-1', 'store-2', 'store-3']);
  await stores.makeLeader('store-4', 'store-5', 'store-6', 'store-7', 'store-8');
  await stores.close('store-2');
  await stores.open('store-2', new MemoryDisk());
  await stores.waitForVoters(8);
});

// The seeds of a store are stopped for good, so nothing it knows can be asked. Guards against a store
// that makes no use of the connections that the members keep to its address.
test('a store with a lost disk joins although all its seeds are gone', async () => {
  const stores = await startCluster(FIVE_DATA_CENTRES);
  await stores.makeLeader('store-4', 'store-5', 'store-3');
  await stores.close('store-1');
  stores.setSeeds('store-2', ['store-1']);
  await stores.close('store-2');
  await stores.open('store-2', new MemoryDisk());
  await waitForVoterNames(stores, 'store-2', ['store-2', 'store-3', 'store-4', 'store-5']);
});

// Guards against a store that keeps to its first seeds, and against one that asks new seeds alone.
test('a store whose seeds are gone joins through changed seeds that do not name the leader', async () => {
  const stores = await startCluster(FIVE_DATA_CENTRES);
  await stores.makeLeader('store-4', 'store-5');
  await stores.close('store-1');
  stores.add('store-6', ['store-1']);
  await stores.open('store-6');
  stores.useSeeds('store-6', ['store-2', 'store-1']);
  const names = ['store-2', 'store-3', 'store-4', 'store-5', 'store-6'];
  await waitForVoterNames(stores, 'store-6', names);
});

// A store is stopped and keeps its old log; meanwhile all other members are replaced. Guards against a
// store that knows the addresses of former members only, and cannot answer the leader that adds it.
test('a removed store joins again after all other members were replaced', async () => {
  const stores = await startCluster(FOUR_DATA_CENTRES);
  await stores.makeLeader('store-1', 'store-2', 'store-3');
  await stores.close('store-4');
  await stores.waitForVoters(3);
  for (const number of [1, 2, 3]) {
    const former = `store-${number}`;
    const successor = `store-${number + 4}`;
    stores.add(successor, ['store-1', 'store-2', 'store-3', 'store-5', 'store-6']);
    await stores.open(successor);
    await stores.waitForVoters(4);
    await stores.close(former);
    await stores.waitForVoters(3);
  }
  const leader = await stores.waitForLeader();
  const names = ['store-5', 'store-6', 'store-7'];
  stores.setSeeds('store-4', [names.find((name) => name !== leader) ?? '']);
  await stores.open('store-4');
  await waitForVoterNames(stores, 'store-4', [...names, 'store-4']);
});

// A joining store stops at any moment of its joining and starts again, with its disk or an empty one.
// Guards against a half-joined store that is not added again.
test('a store that stops while it joins is added when it starts again', async () => {
  const stores = await startCluster(FOUR_DATA_CENTRES, ['store-1', 'store-2', 'store-3']);
  await stores.makeLeader('store-4');
  await stores.close('store-1');
  for (const pause of [0, 100, 260, 520, 780]) {
    await stores.open('store-1', new MemoryDisk());
    await new Promise((resolve) => {
      setTimeout(resolve, pause);
    });
    await stores.close('store-1');
  }
  await stores.open('store-1');
  await stores.waitForVoters(4);
});

// The only seed of a store is itself not a member yet. Guards against a store that takes its answer for
// the last word.
test('a store joins through a seed that is itself joining', async () => {
  const stores = await startCluster(FOUR_DATA_CENTRES, ['store-1', 'store-2', 'store-3']);
  await stores.makeLeader('store-4');
  stores.add('store-5', ['store-6']);
  stores.add('store-6', ['store-2']);
  await stores.open('store-5');
  await stores.open('store-6');
  const names = ['store-1', 'store-2', 'store-3', 'store-4', 'store-5', 'store-6'];
  await waitForVoterNames(stores, 'store-5', names);
});

/** Stores whose disks take no writes for a while, one after the other. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import type { PutTableCommand } from '@hornbeampond/schema';
import { MemoryDisk } from './testing/MemoryDisk.js';
import { StoreCluster, waitFor, type TestClient } from './testing/StoreCluster.js';

const STORES = ['store-1', 'store-2', 'store-3'];
const TIMEOUT_MILLISECONDS = 1000;
const FULL_MILLISECONDS = 700;

let cluster: StoreCluster;
let client: TestClient;

before(async () => {
  cluster = await StoreCluster.start(['wien-a', 'wien-b', 'stpoelten']);
  client = cluster.connect('entry-1');
});

after(async () => {
  await cluster.stop();
});

/** Proposes a change until it is acknowledged. */
async function change(number: number): Promise<void> {
  const command: PutTableCommand = {
    type: 'putTable',
    table: 'pools',
    baseRevision: number - 1,
    changeId: `change-${number}`,
    rows: [],
  };
  await waitFor(`change ${number}`, async () => {
    const outcome = await client.client.propose(command, TIMEOUT_MILLISECONDS);
    return outcome.type === 'result' && outcome.result.type === 'tableAccepted' ? true : undefined;
  });
}

// Guards against stores that stay read-only for good after a disk was full for a moment: with the second one of three
// there is no quorum any more, although all disks are in order.
test('stores whose disks were full one after the other serve again by themselves', async () => {
  let changes = 0;
  for (const instance of STORES) {
    const disk = cluster.diskOf(instance);
    assert.ok(disk instanceof MemoryDisk);
    disk.isFull = true;
    changes += 1;
    await change(changes);
    await wait(FULL_MILLISECONDS);
    disk.isFull = false;
    await cluster.waitForVoters(STORES.length);
  }
  changes += 1;
  await change(changes);
  // The acknowledgement and the push take different ways.
  await waitFor('the pushed configuration', () =>
    client.configurations.at(-1)?.revision === changes ? true : undefined,
  );
  assert.deepEqual(cluster.failures, []);
});

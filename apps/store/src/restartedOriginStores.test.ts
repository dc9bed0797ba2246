/** Origins of streams at real stores that start anew, while the entry that told them runs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import type { InstanceReport, StreamOrigin } from '@hornbeampond/schema';
import { StoreClient } from '@hornbeampond/transport';
import { StoreCluster, testCluster, waitFor } from './testing/index.js';

const STORES = ['store-1', 'store-2', 'store-3'];
const COPIES = 2;
const ANSWER_TIMEOUT_MILLISECONDS = 300;

const origins: readonly StreamOrigin[] = Array.from({ length: 40 }, (_, number) => ({
  requestId: `request-${number}`,
  workspace: 'laden',
  pool: 'drafting',
  version: 'v1',
  lifetime: 60_000,
}));

/** An entry that tells the stores which join what it knows, as entries do. */
function connectEntry(
  cluster: StoreCluster,
  instance: string,
  stores: readonly string[],
  known: readonly StreamOrigin[] = [],
): StoreClient {
  const place = { instance, dataCentre: 'wien-b', role: 'entry' } as const;
  const report: InstanceReport = { ...place, revision: 0, cutOff: false };
  const client: StoreClient = new StoreClient(
    cluster.addressesOf(stores),
    {
      identity: { cluster: testCluster.cluster, ...place },
      secret: testCluster.clusterSecret,
      timers: new SystemTimerService(),
      logger: new Logger({ process: 'test', instance }, 'error'),
    },
    { onOriginStores: () => client.shareStreamOrigins(known) },
    report,
  );
  return client;
}

/** Resolves once each origin is kept by two of the stores, each of which is asked by itself. */
async function waitForCopies(cluster: StoreCluster, what: string): Promise<void> {
  const askers = STORES.map((store) => connectEntry(cluster, `asker-of-${store}`, [store]));
  const countCopies = async ({ requestId }: StreamOrigin) => {
    const answers = await Promise.all(
      askers.map(async (asker) => asker.findStreamOrigin(requestId, ANSWER_TIMEOUT_MILLISECONDS)),
    );
    return answers.filter(({ origin }) => origin !== undefined).length;
  };
  try {
    await waitFor(what, async () => {
      const copies = await Promise.all(origins.map(countCopies));
      return copies.every((count) => count >= COPIES) ? true : undefined;
    });
  } finally {
    askers.forEach((asker) => asker.close());
  }
}

// Guards against origins that end with the processes of the stores that keep them, although the entry that
// began the streams could tell them again.
test('real stores that start anew one after the other are told the origins again', async (context) => {
  const cluster = await StoreCluster.start(['wien-a', 'wien-b', 'stpoelten']);
  const entry = connectEntry(cluster, 'entry-1', STORES, origins);
  context.after(async () => {
    entry.close();
    await cluster.stop();
  });
  await waitForCopies(cluster, 'copies at the beginning');
  for (const store of [...STORES, ...STORES]) {
    await cluster.close(store);
    await cluster.open(store);
    await waitForCopies(cluster, `copies after a start of ${store}`);
  }
  assert.deepEqual(cluster.failures, []);
});

// Guards against the same where all stores restart at once, each with an empty memory.
test('real stores that start anew together are told the origins again', async (context) => {
  const cluster = await StoreCluster.start(['wien-a', 'wien-b', 'stpoelten']);
  const entry = connectEntry(cluster, 'entry-1', STORES, origins);
  context.after(async () => {
    entry.close();
    await cluster.stop();
  });
  await waitForCopies(cluster, 'copies at the beginning');
  await Promise.all(STORES.map(async (store) => cluster.close(store)));
  await Promise.all(STORES.map(async (store) => cluster.open(store)));
  await waitForCopies(cluster, 'copies after the start of all stores');
});

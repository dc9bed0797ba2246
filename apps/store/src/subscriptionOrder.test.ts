/** What a store sends first to an entry that turns to it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import { PeerClient, type PeerContext } from '@hornbeampond/transport';
import { StoreCluster, testCluster, waitFor } from './testing/StoreCluster.js';
import { LOOPBACK } from './testing/StoreLinks.js';

type Arrival = 'configuration' | 'answer';

/** Subscribes like an entry that has this revision; returns what arrives, in order. */
async function subscribeAt(port: number, revision: number, isStarting: boolean) {
  const arrivals: Arrival[] = [];
  const logger = new Logger({ process: 'test', instance: 'entry-1' }, 'error');
  const identity = {
    cluster: testCluster.cluster,
    instance: 'entry-1',
    dataCentre: 'wien-a',
    role: 'entry',
  };
  const timers = new SystemTimerService();
  const context = { identity, secret: testCluster.clusterSecret, timers, logger } as PeerContext;
  const client = new PeerClient({ host: LOOPBACK, port }, context, {
    onPush: (body) => {
      if ((body as { type: string }).type === 'configuration') arrivals.push('configuration');
    },
  });
  await waitFor('the connection to the store', () => (client.isOpen ? true : undefined));
  const { instance, dataCentre, role } = identity;
  const report = { instance, dataCentre, role, revision, cutOff: false };
  await client.request({ type: 'subscribe', report, receivesDigests: true, isStarting }, 5000);
  arrivals.push('answer');
  client.close();
  return arrivals;
}

// The answer holds all that the store knows. Guards against an entry that is short of time or on a full link,
// and has the current configuration only once all of that has arrived.
test('a store sends an entry that is behind the configuration ahead of its answer', async (context) => {
  const cluster = await StoreCluster.start(['wien-a']);
  context.after(async () => cluster.stop());
  const { client } = cluster.connect('writer');
  const command = {
    type: 'putTable',
    table: 'pools',
    baseRevision: 0,
    changeId: 'change-1',
    rows: [],
  } as const;
  const { type } = await client.propose(command, 2000);
  assert.equal(type, 'result');
  const port = cluster.addressesOf(['store-1'])[0]?.port ?? 0;
  assert.deepEqual(await subscribeAt(port, 0, false), ['configuration', 'answer']);
  // It has nothing to catch up with, or needs the rest before it serves.
  assert.deepEqual(await subscribeAt(port, 1, false), ['answer']);
  assert.deepEqual(await subscribeAt(port, 0, true), ['answer']);
});

/**
 * Main module of the process that runs a cluster of fakes and its control interface. It prints the
 * addresses of all servers as one line of JSON once they listen.
 */
import { runBinary, type RunningProcess } from '@hornbeampond/runtime';
import { FakeCluster } from './FakeCluster.js';
import { fakeClusterSchema, type FakeClusterSettings } from './fakeClusterSettings.js';
import { FakeControl } from './FakeControl.js';
import type { FakeServer } from './FakeServer.js';

function listAddresses(servers: ReadonlyMap<string, FakeServer>): object[] {
  return [...servers].map(([instance, { host, port }]) => ({ instance, host, port }));
}

async function start(settings: FakeClusterSettings): Promise<RunningProcess> {
  const cluster = await FakeCluster.start(settings);
  const control = new FakeControl(cluster, { host: settings.host, port: settings.control.port });
  await control.restart();
  const addresses = {
    control: control.url,
    platform: cluster.platform.url,
    weightStore: cluster.weightStore.url,
    engines: listAddresses(cluster.engines),
    services: listAddresses(cluster.services),
  };
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  return {
    async shutDown() {
      await control.close();
      await cluster.close();
    },
  };
}

await runBinary({
  name: 'hornbeampond-fakes',
  purpose: 'a fake platform, weight store, engines and plain services for tests',
  schema: fakeClusterSchema,
  start,
});

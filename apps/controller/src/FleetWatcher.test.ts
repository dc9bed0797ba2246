import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { HttpPlatformAdapter } from '@hornbeampond/adapters';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import { emptyConfiguration, type Pool } from '@hornbeampond/schema';
import { FakeEngine, FakePlatform } from '@hornbeampond/testing';
import { FleetWatcher } from './FleetWatcher.js';

const pool: Pool = {
  name: 'appraisers',
  kind: 'modelEngine',
  dataCentres: ['wien-a'],
  instanceClasses: [{ name: 'gpu', eurosPerHour: 1, reclaimable: true, concurrency: 8 }],
  least: 1,
  most: 1,
  model: 'appraiser',
  checksFencing: true,
};

async function startWatcher(context: TestContext) {
  const engine = await FakeEngine.start({ instance: 'engine-1' });
  const platform = await FakePlatform.start();
  const { host, port } = engine;
  const place = { dataCentre: 'wien-a', instanceClass: 'gpu', pool: pool.name };
  platform.add({ instance: 'engine-1', ...place, state: 'live', host, port });
  const lostInstances = new Set<string>();
  let onPolled: () => void = () => {};
  const watcher = new FleetWatcher({
    platform: new HttpPlatformAdapter(platform.url),
    weightStore: undefined,
    timers: new SystemTimerService(),
    logger: new Logger({ process: 'test', instance: 'test' }, 'error'),
    dataCentre: 'wien-a',
    pollMilliseconds: 50,
    maxUnansweredMilliseconds: 200,
    readConfiguration: () => ({ ...emptyConfiguration, pools: { revision: 1, rows: [pool] } }),
    onListed: () => onPolled(),
    onReclaimNotice: () => {},
    onLoad: () => {},
    onLost: (instance) => lostInstances.add(instance),
    onLoadRate: () => {},
  });
  watcher.start();
  context.after(async () => Promise.all([watcher.close(), engine.close(), platform.close()]));
  const waitForPoll = async () =>
    new Promise<void>((resolve) => {
      onPolled = resolve;
    });
  return { engine, lostInstances, waitForPoll };
}

// Guards against a dead instance that is never replaced because the platform still lists it as live.
test('an instance that is listed but dead is reported as lost', async (context) => {
  const { engine, lostInstances, waitForPoll } = await startWatcher(context);
  await waitForPoll();
  await engine.die();
  while (!lostInstances.has('engine-1')) await waitForPoll();
});

// Guards against replacing an engine whose open connections stall although it accepts new ones: the
// work of its streams would be lost.
test('an instance that answers new connections is not reported as lost', async (context) => {
  const { engine, lostInstances, waitForPoll } = await startWatcher(context);
  await waitForPoll();
  engine.stallOpenConnections();
  for (let polls = 0; polls < 12; polls += 1) await waitForPoll();
  assert.equal(lostInstances.size, 0);
});

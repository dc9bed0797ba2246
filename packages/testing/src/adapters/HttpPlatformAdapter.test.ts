import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { HttpPlatformAdapter, HttpWeightStoreAdapter } from '@hornbeampond/adapters';
import { FakeEngine } from '../fakes/FakeEngine.js';
import { FakePlatform, type FakePlatformOptions } from '../fakes/FakePlatform.js';
import { FakeWeightStore } from '../fakes/FakeWeightStore.js';
import { ManualTimerService } from '../ManualTimerService.js';
import { matchSnapshot } from '../matchSnapshot.js';

const { signal } = new AbortController();
const start = {
  pool: 'appraisers',
  dataCentre: 'wien-a',
  instanceClass: 'gpu-reclaimable',
  startToken: 'token-1',
};

async function startPlatform(t: TestContext, options: FakePlatformOptions = {}) {
  const timers = new ManualTimerService();
  const platform = await FakePlatform.start({ timers, ...options });
  const adapter = new HttpPlatformAdapter(platform.url);
  t.after(async () => {
    await adapter.close();
    await platform.close();
  });
  return { timers, platform, adapter };
}

test('an instance is bought, listed with a lag, given notice and removed', async (t) => {
  const { timers, platform, adapter } = await startPlatform(t, { listLag: 2000, startDelay: 5000 });
  const states: unknown[] = [];
  const recordState = async (when: string) => {
    const instances = await adapter.listInstances(signal);
    const notices = await adapter.readNotices(signal);
    const listed = instances.map(({ instance, state, goneAt }) => ({ instance, state, goneAt }));
    states.push({ when, listed, notices });
  };
  const bought = await adapter.startInstance(start, signal);
  assert.equal(bought.type, 'started');
  await recordState('just bought');
  timers.advance(2000);
  await recordState('listed');
  timers.advance(5000);
  await recordState('started');
  platform.giveNotice('appraisers-wien-a-1', 3000);
  await recordState('on notice, still listed as live');
  timers.advance(2000);
  await recordState('leaving');
  timers.advance(3000);
  await recordState('gone');
  await matchSnapshot(import.meta.url, 'life of an instance', states);
});

test('concurrent starts with the same token buy one instance', async (t) => {
  const { platform, adapter } = await startPlatform(t);
  const answers = await Promise.all([1, 2, 3].map(() => adapter.startInstance(start, signal)));
  assert.deepEqual(answers[1], answers[0]);
  assert.deepEqual(answers[2], answers[0]);
  assert.equal(platform.purchases.length, 1);
});

test('a refused start buys nothing, and the same token may succeed later', async (t) => {
  const { platform, adapter } = await startPlatform(t);
  platform.refuseStarts([{ dataCentre: 'wien-a', reason: 'no capacity' }]);
  const refused = { type: 'refused', reason: 'no capacity' };
  assert.deepEqual(await adapter.startInstance(start, signal), refused);
  const elsewhere = { ...start, dataCentre: 'eisenstadt', startToken: 'token-2' };
  assert.equal((await adapter.startInstance(elsewhere, signal)).type, 'started');
  platform.refuseStarts([]);
  assert.equal((await adapter.startInstance(start, signal)).type, 'started');
  assert.deepEqual([platform.refusedCount, platform.purchases.length], [1, 2]);
});

test('an instance is removed on notice even if a later read omits the notice', async (t) => {
  const engines: FakeEngine[] = [];
  const launch = async () => {
    const engine = await FakeEngine.start();
    engines.push(engine);
    return engine;
  };
  const { timers, platform, adapter } = await startPlatform(t, { launch });
  await adapter.startInstance(start, signal);
  const [engine] = engines;
  assert.ok(engine?.alive);
  platform.limitNoticeReads(1);
  platform.giveNotice('appraisers-wien-a-1', 1000);
  assert.equal((await adapter.readNotices(signal)).length, 1);
  assert.equal((await adapter.readNotices(signal)).length, 0);
  timers.advance(1000);
  await engine.waitFor(() => !engine.alive);
  assert.deepEqual(await adapter.listInstances(signal), []);
});

test('ending an instance twice is not an error', async (t) => {
  const { adapter } = await startPlatform(t);
  await adapter.startInstance(start, signal);
  await adapter.endInstance('appraisers-wien-a-1', signal);
  await adapter.endInstance('appraisers-wien-a-1', signal);
  assert.deepEqual(await adapter.listInstances(signal), []);
});

test('the weight store grants a burst of loads, then limits loads to its rate', async (t) => {
  const timers = new ManualTimerService();
  const store = await FakeWeightStore.start({ timers, loadsPerMinute: 6, burst: 1 });
  const adapter = new HttpWeightStoreAdapter(store.url);
  t.after(async () => {
    await adapter.close();
    await store.close();
  });
  const load = { instance: 'engine-1', model: 'appraiser' };
  const refused = { type: 'refused', retryAfter: 10_000 };
  assert.deepEqual(await adapter.requestLoad(load, signal), { type: 'granted' });
  assert.deepEqual(await adapter.requestLoad(load, signal), refused);
  timers.advance(10_000);
  assert.deepEqual(await adapter.readRate(signal), { loadsPerMinute: 6, available: 1 });
  assert.deepEqual(await adapter.requestLoad(load, signal), { type: 'granted' });
  assert.equal(store.grantedLoads.length, 2);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControllerEffect } from '../effects.js';
import {
  makeConfiguration,
  ControllerHarness,
  listLogEvents,
  modelPool,
  effectsOfType,
  makePlatformInstance,
} from '../testing/ControllerHarness.js';

const oneDataCentre = { dataCentres: ['wien-a'], least: 4, most: 6 };
const firm = { instanceClass: 'firm' };

/** Four on-demand engines with version 1 in one data centre, and demand for three of them. */
function makeServingHarness(least = 4): ControllerHarness {
  const pool = { ...oneDataCentre, least, instanceClasses: modelPool.instanceClasses.slice(1) };
  const harness = new ControllerHarness({ pool });
  harness.requestsPerSecond = 8;
  harness.listedInstances = ['a', 'b', 'c', 'd'].map((name) =>
    makePlatformInstance(name, 'wien-a', firm),
  );
  harness.listedInstances.forEach(({ instance }) => {
    harness.loadedModels.set(instance, { model: 'appraiser', version: '1' });
    harness.runningCalls.set(instance, 2);
  });
  harness.acquireLease();
  return harness;
}

function setVersion(harness: ControllerHarness, version: string): ControllerEffect[] {
  const configuration = makeConfiguration({ ...harness.pool, version }, 2);
  return harness.dispatch({ type: 'configurationApplied', configuration });
}

// Guards against streams that see two versions, and against too little capacity for the deadlines,
// while a new version is rolled out to engines in use.
test('a rollout reloads one idle engine at a time', () => {
  const harness = makeServingHarness();
  const outOfService = new Set<string>();
  const reloaded = new Set<string>();
  const applyEffect = (effect: ControllerEffect): void => {
    if (effect.type === 'drainInstance') outOfService.add(effect.instance);
    if (effect.type === 'restoreInstance') outOfService.delete(effect.instance);
    assert.ok(outOfService.size <= 1, `out of service: ${[...outOfService].join()}`);
    if (effect.type !== 'sendOrder') return;
    assert.equal(harness.runningCalls.get(effect.instance), 0, 'a stream would see two versions');
    harness.loadedModels.set(effect.instance, { model: 'appraiser', version: '2' });
    reloaded.add(effect.instance);
    harness.answerOrder(effect, { type: 'done' }).forEach(applyEffect);
  };
  setVersion(harness, '2').forEach(applyEffect);
  for (let second = 1; second < 900 && reloaded.size < 4; second += 1) {
    harness.advance(1000).forEach(applyEffect);
    // Streams of an engine out of service end after up to ten seconds.
    if (second % 10 === 0)
      outOfService.forEach((instance) => harness.runningCalls.set(instance, 0));
  }
  assert.equal(reloaded.size, 4);
  assert.equal(outOfService.size, 0);
});

// Guards against loading a model twice when only the answer to the first order was lost; the
// engine's load report shows that the order was carried out.
test('an order that was carried out is not resent when its answer is lost', () => {
  const harness = makeServingHarness(5);
  harness.listedInstances?.push(makePlatformInstance('fresh', 'wien-a', firm));
  const [order] = effectsOfType(harness.advance(2000), 'sendOrder');
  assert.equal(order?.instance, 'fresh');
  harness.loadedModels.set('fresh', { model: 'appraiser', version: '1' });
  const later = harness.advance(6 * 60_000);
  assert.ok(listLogEvents(later).includes('orderFailed'));
  assert.deepEqual(effectsOfType(later, 'sendOrder'), []);
});

// Guards against an engine that stays drained because the holder crashed during its reload, and
// against late orders of that holder: the successor restores the engine and uses its own epoch.
test('a reload interrupted by a crash of the holder is finished under the next epoch', () => {
  const first = makeServingHarness();
  const started = [...setVersion(first, '2'), ...first.advance(90_000)];
  const drained = effectsOfType(started, 'drainInstance')[0]?.instance ?? '';
  assert.notEqual(drained, '');

  const next = makeServingHarness();
  setVersion(next, '2');
  next.dispatch({ type: 'leaseLost' });
  const takeoverEffects = next.dispatch({ type: 'leaseHeld', epoch: 2, unfencedFrom: next.now });
  const restored = effectsOfType(takeoverEffects, 'restoreInstance').map(
    ({ instance }) => instance,
  );
  assert.ok(restored.includes(drained));
  next.listedInstances?.forEach(({ instance }) => next.runningCalls.set(instance, 0));
  const [order] = effectsOfType(next.advance(60_000), 'sendOrder');
  assert.equal(order?.order.epoch, 2);
});

// Guards against late orders of the previous holder, which engines that do not check fencing tokens
// would carry out as well.
test('engines that do not check fencing get no order before the takeover wait has passed', () => {
  const pool = { ...oneDataCentre, checksFencing: false };
  const harness = new ControllerHarness({ pool });
  harness.listedInstances = ['a', 'b', 'c', 'd'].map((name) => makePlatformInstance(name));
  const early = harness.acquireLease(2, 30_000);
  assert.deepEqual(effectsOfType([...early, ...harness.advance(19_000)], 'sendOrder'), []);
  assert.ok(effectsOfType(harness.advance(3000), 'sendOrder').length > 0);
});

// Guards against two controllers that change the fleet after a partition hid the takeover from the
// old holder.
test('a controller whose order is refused as old no longer changes the fleet', () => {
  const harness = makeServingHarness(5);
  harness.listedInstances?.push(makePlatformInstance('fresh', 'wien-a', firm));
  const [order] = effectsOfType(harness.advance(2000), 'sendOrder');
  assert.ok(order !== undefined);
  harness.answerOrder(order, { type: 'refusedAsOld' });
  setVersion(harness, '2');
  harness.listedInstances = [];
  const effects = harness.advance(10 * 60_000);
  assert.deepEqual(
    effects.filter(({ type }) => type !== 'log' && type !== 'count'),
    [],
  );
});

// Guards against overloading the weight store, which would slow all loads down.
test('loads stay within the rate limit of the weight store', () => {
  const pool = { dataCentres: ['wien-a'], least: 12, most: 12 };
  const harness = new ControllerHarness({ pool, policy: { maxConcurrentLoads: 12 } });
  harness.dispatch({ type: 'loadRateRead', loadsPerMinute: 8 });
  harness.listedInstances = Array.from({ length: 12 }, (_, number) =>
    makePlatformInstance(`engine-${number}`),
  );
  const first = [...harness.acquireLease(), ...harness.advance(20_000)];
  assert.equal(effectsOfType(first, 'sendOrder').length, 8);
  assert.equal(effectsOfType(harness.advance(60_000), 'sendOrder').length, 4);
});

// Guards against retrying a load before the time that the busy weight store gave.
test('a load refused by a busy weight store is retried after the given delay', () => {
  const harness = makeServingHarness(5);
  harness.listedInstances?.push(makePlatformInstance('fresh', 'wien-a', firm));
  const [order] = effectsOfType(harness.advance(2000), 'sendOrder');
  assert.ok(order !== undefined);
  harness.answerOrder(order, { type: 'weightStoreBusy', retryAfter: 20_000 });
  assert.deepEqual(effectsOfType(harness.advance(19_000), 'sendOrder'), []);
  assert.equal(effectsOfType(harness.advance(5000), 'sendOrder').length, 1);
});

// Guards against changing the version under running streams when a new holder sees an engine in
// the platform's list before the engine's first load report.
test('an engine without a load report gets no order, and is drained once it reports', () => {
  const harness = makeServingHarness();
  const next = new ControllerHarness({ pool: { ...harness.pool, version: '2' } });
  next.requestsPerSecond = 8;
  next.listedInstances = harness.listedInstances;
  next.deliversLoadReports = false;
  const effectsBeforeReports = [...next.acquireLease(2), ...next.advance(60_000)];
  assert.deepEqual(effectsOfType(effectsBeforeReports, 'sendOrder'), []);
  harness.loadedModels.forEach((loaded, instance) => {
    next.loadedModels.set(instance, loaded);
    next.runningCalls.set(instance, 2);
  });
  next.deliversLoadReports = true;
  const effectsAfterReports = next.advance(90_000);
  assert.deepEqual(effectsOfType(effectsAfterReports, 'sendOrder'), []);
  assert.equal(effectsOfType(effectsAfterReports, 'drainInstance').length, 1);
});

// Guards against reloading while entries may still send: a clock that is ahead makes an idle report
// look as if it was measured after they stopped.
test('an engine whose clock is ahead is not considered idle too early', () => {
  const harness = makeServingHarness();
  harness.serverClockOffset = 2000;
  harness.listedInstances?.forEach(({ instance }) => harness.runningCalls.set(instance, 0));
  const [drained] = effectsOfType(setVersion(harness, '2'), 'drainInstance');
  assert.ok(drained !== undefined);
  assert.deepEqual(effectsOfType(harness.advance(5000), 'sendOrder'), []);
  assert.equal(effectsOfType(harness.advance(5000), 'sendOrder').length, 1);
});

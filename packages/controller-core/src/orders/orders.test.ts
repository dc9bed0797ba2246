import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControllerEffect } from '../effects.js';
import {
  configure,
  ControllerHarness,
  logged,
  modelPool,
  pick,
  row,
} from '../testing/ControllerHarness.js';

const oneDataCentre = { dataCentres: ['wien-a'], least: 4, most: 6 };
const firm = { instanceClass: 'firm' };

/** Four on-demand engines of one data centre with version 1, and demand for three of them. */
function makeServingHarness(least = 4): ControllerHarness {
  const pool = { ...oneDataCentre, least, instanceClasses: modelPool.instanceClasses.slice(1) };
  const harness = new ControllerHarness({ pool });
  harness.rate = 8;
  harness.rows = ['a', 'b', 'c', 'd'].map((name) => row(name, 'wien-a', firm));
  harness.rows.forEach(({ instance }) => {
    harness.loaded.set(instance, { model: 'appraiser', version: '1' });
    harness.running.set(instance, 2);
  });
  harness.hold();
  return harness;
}

function setVersion(harness: ControllerHarness, version: string): ControllerEffect[] {
  const configuration = configure({ ...harness.pool, version }, 2);
  return harness.tell({ type: 'configurationApplied', configuration });
}

// An operator puts a new version while callers' streams run on every engine. An engine is ordered
// to load only after its entries have stopped sending and it has reported no running stream, so no
// stream sees two versions; and only one at a time is out, so the deadline's capacity stays.
test('a rollout reloads one idle engine after another and keeps the capacity', () => {
  const harness = makeServingHarness();
  const outOfService = new Set<string>();
  const reloaded = new Set<string>();
  const applyEffect = (effect: ControllerEffect): void => {
    if (effect.type === 'drainInstance') outOfService.add(effect.instance);
    if (effect.type === 'restoreInstance') outOfService.delete(effect.instance);
    assert.ok(outOfService.size <= 1, `out of service: ${[...outOfService].join()}`);
    if (effect.type !== 'sendOrder') return;
    assert.equal(harness.running.get(effect.instance), 0, 'a stream would see two versions');
    harness.loaded.set(effect.instance, { model: 'appraiser', version: '2' });
    reloaded.add(effect.instance);
    harness.answerOrder(effect, { type: 'done' }).forEach(applyEffect);
  };
  setVersion(harness, '2').forEach(applyEffect);
  for (let second = 1; second < 900 && reloaded.size < 4; second += 1) {
    harness.advance(1000).forEach(applyEffect);
    // Streams of an engine that is out take up to ten more seconds to end.
    if (second % 10 === 0) outOfService.forEach((instance) => harness.running.set(instance, 0));
  }
  assert.equal(reloaded.size, 4);
  assert.equal(outOfService.size, 0);
});

// The engine carried the load out but its answer was lost. The controller does not guess: after
// the timeout it takes the order for lost, and the engine's own report shows that it was done, so
// nothing is sent again.
test('a lost answer to a done order sends nothing twice', () => {
  const harness = makeServingHarness(5);
  harness.rows?.push(row('fresh', 'wien-a', firm));
  const [order] = pick(harness.advance(2000), 'sendOrder');
  assert.equal(order?.instance, 'fresh');
  harness.loaded.set('fresh', { model: 'appraiser', version: '1' });
  const later = harness.advance(6 * 60_000);
  assert.ok(logged(later).includes('orderFailed'));
  assert.deepEqual(pick(later, 'sendOrder'), []);
});

// A holder drains an engine for a reload, orders the load and dies; the engine may have loaded or
// not. Its successor has no memory of this. It puts every engine back into service (else this one
// would stand idle for ever), sees what is loaded from reports, and goes on under its own epoch,
// so that a late order of the dead holder is refused.
test("a dead holder's half-done reload is finished under the next epoch", () => {
  const first = makeServingHarness();
  const started = [...setVersion(first, '2'), ...first.advance(90_000)];
  const drained = pick(started, 'drainInstance')[0]?.instance ?? '';
  assert.notEqual(drained, '');

  const next = makeServingHarness();
  setVersion(next, '2');
  next.tell({ type: 'leaseLost' });
  const taken = next.tell({ type: 'leaseHeld', epoch: 2, unfencedFrom: next.now });
  const restored = pick(taken, 'restoreInstance').map(({ instance }) => instance);
  assert.ok(restored.includes(drained));
  next.rows?.forEach(({ instance }) => next.running.set(instance, 0));
  const [order] = pick(next.advance(60_000), 'sendOrder');
  assert.equal(order?.order.epoch, 2);
});

// Engines that ignore fencing numbers would also carry out the last holder's late orders. Until
// the lease part says that the last of those must have arrived, they get no order at all.
test('engines that check no fencing get no order before the wait is over', () => {
  const pool = { ...oneDataCentre, checksFencing: false };
  const harness = new ControllerHarness({ pool });
  harness.rows = ['a', 'b', 'c', 'd'].map((name) => row(name));
  const early = harness.hold(2, 30_000);
  assert.deepEqual(pick([...early, ...harness.advance(19_000)], 'sendOrder'), []);
  assert.ok(pick(harness.advance(3000), 'sendOrder').length > 0);
});

// A partition hid a change of holder from this controller, and an engine refuses its order as
// old. Whatever it believes of its lease, another one acts: it sends nothing more at all.
test('an order refused as old silences the controller', () => {
  const harness = makeServingHarness(5);
  harness.rows?.push(row('fresh', 'wien-a', firm));
  const [order] = pick(harness.advance(2000), 'sendOrder');
  assert.ok(order !== undefined);
  harness.answerOrder(order, { type: 'refusedAsOld' });
  setVersion(harness, '2');
  harness.rows = [];
  const effects = harness.advance(10 * 60_000);
  assert.deepEqual(
    effects.filter(({ type }) => type !== 'log' && type !== 'count'),
    [],
  );
});

// Twelve engines start at once and the weight store allows eight loads a minute for one data
// centre. More would queue there and all become slow; the loads are spread over the minutes.
test('loads keep within the rate of the weight store', () => {
  const pool = { dataCentres: ['wien-a'], least: 12, most: 12 };
  const harness = new ControllerHarness({ pool, policy: { maxConcurrentLoads: 12 } });
  harness.tell({ type: 'loadRateRead', loadsPerMinute: 8 });
  harness.rows = Array.from({ length: 12 }, (_, number) => row(`engine-${number}`));
  const first = [...harness.hold(), ...harness.advance(20_000)];
  assert.equal(pick(first, 'sendOrder').length, 8);
  assert.equal(pick(harness.advance(60_000), 'sendOrder').length, 4);
});

// The weight store refuses a load for now. The order was not sent; it is tried again after the
// span that the store named, not before.
test('a busy weight store is asked again when it says', () => {
  const harness = makeServingHarness(5);
  harness.rows?.push(row('fresh', 'wien-a', firm));
  const [order] = pick(harness.advance(2000), 'sendOrder');
  assert.ok(order !== undefined);
  harness.answerOrder(order, { type: 'weightStoreBusy', retryAfter: 20_000 });
  assert.deepEqual(pick(harness.advance(19_000), 'sendOrder'), []);
  assert.equal(pick(harness.advance(5000), 'sendOrder').length, 1);
});

// A new holder hears of an engine from the platform's list before the engine's first load report.
// Callers' streams of the old version may run there. It gets no order on the guess that it is
// empty; once it has reported its version, it is drained first.
test('an engine that has not reported yet gets no order', () => {
  const harness = makeServingHarness();
  const next = new ControllerHarness({ pool: { ...harness.pool, version: '2' } });
  next.rate = 8;
  next.rows = harness.rows;
  next.reporting = false;
  const unknown = [...next.hold(2), ...next.advance(60_000)];
  assert.deepEqual(pick(unknown, 'sendOrder'), []);
  harness.loaded.forEach((loaded, instance) => {
    next.loaded.set(instance, loaded);
    next.running.set(instance, 2);
  });
  next.reporting = true;
  const known = next.advance(90_000);
  assert.deepEqual(pick(known, 'sendOrder'), []);
  assert.equal(pick(known, 'drainInstance').length, 1);
});

// An engine's clock is two seconds ahead, and between two calls it reports itself idle just after
// its drain began. Its entries may still send for five seconds, so a report that only looks newer
// must not start the reload: the next call would see the version change.
test('an engine whose clock is ahead is not taken for idle too early', () => {
  const harness = makeServingHarness();
  harness.clockAhead = 2000;
  harness.rows?.forEach(({ instance }) => harness.running.set(instance, 0));
  const [drained] = pick(setVersion(harness, '2'), 'drainInstance');
  assert.ok(drained !== undefined);
  assert.deepEqual(pick(harness.advance(5000), 'sendOrder'), []);
  assert.equal(pick(harness.advance(5000), 'sendOrder').length, 1);
});

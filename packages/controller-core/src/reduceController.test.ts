import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@hornbeampond/testing';
import { isFleetEffect } from './effects.js';
import { explainPlan } from './explainPlan.js';
import {
  configure,
  ControllerHarness,
  modelPool,
  pick,
  placesOf,
  row,
} from './testing/ControllerHarness.js';

// Guards against two controllers that undo each other's changes when a partitioned one still
// receives events after its lease has ended.
test('a controller without the lease changes nothing in the fleet, whatever events arrive', () => {
  const harness = new ControllerHarness();
  harness.rate = 60;
  harness.rows = [row('a'), row('b', 'wien-b'), row('stray', 'wien-a', { pool: 'gone' })];
  const [start] = pick(harness.hold(), 'startInstance');
  assert.ok(start !== undefined);
  harness.tell({ type: 'leaseLost' });
  const configuration = configure({ ...harness.pool, version: '2' }, 2);
  const effects = [
    ...harness.tell({ type: 'configurationApplied', configuration }),
    ...harness.answerStart(start.startToken, { type: 'refused', reason: 'none left' }),
    ...harness.tell({ type: 'reclaimNoticed', instance: 'a', goneAt: harness.wallNow + 30_000 }),
    ...harness.advance(20 * 60_000),
  ];
  assert.deepEqual(effects.filter(isFleetEffect), []);
});

// Guards against buying the fleet a second time, or draining it, when the controllers of the other
// data centres are unreachable but their instances are still listed.
test('an unreachable data centre stays in the plan while its instances are listed', () => {
  const harness = new ControllerHarness();
  harness.rate = 5;
  harness.peerRate = 5;
  harness.furnish();
  const before = harness.state.plans.get('models');
  harness.peersHeard = false;
  const effects = harness.advance(15 * 60_000);
  assert.deepEqual(placesOf(effects), []);
  assert.deepEqual(pick(effects, 'drainInstance'), []);
  const after = harness.state.plans.get('models');
  const [expected = 0, counted = 0] = [before, after].map(
    (plan) => plan?.figures.requestsPerSecond,
  );
  assert.ok(Math.abs(counted - expected) < 0.01, `${counted} requests a second`);
});

// Guards against a pool that falls below its need because all data centres drain at the same time,
// each relying on the capacity of the others.
test('a controller scales in only in the turn of its data centre', () => {
  const harness = new ControllerHarness();
  harness.rate = 80;
  harness.furnish();
  harness.rate = 4;
  const position = [...harness.pool.dataCentres].sort().indexOf(harness.state.dataCentre);
  const { turnDuration } = harness.state.policy;
  let drained = 0;
  for (let second = 0; second < 1200; second += 1) {
    const drains = pick(harness.advance(1000), 'drainInstance');
    if (drains.length === 0) continue;
    drained += drains.length;
    assert.equal(Math.floor(harness.wallNow / turnDuration) % 4, position);
  }
  assert.ok(drained >= 2);
});

// Guards against missing or duplicate purchases: each controller plans for all data centres and
// buys only in its own, without negotiation.
test('controllers with the same input make the same plan and together buy all of it', () => {
  const harnesses = ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'].map(
    (dataCentre, position) => new ControllerHarness({ dataCentre, seed: position }),
  );
  const bought = harnesses.flatMap((harness) => {
    harness.rate = 20;
    return placesOf(harness.hold());
  });
  const [plan] = harnesses.map((harness) => harness.state.plans.get('models'));
  harnesses.forEach((harness) => {
    assert.deepEqual(harness.state.plans.get('models')?.places, plan?.places);
  });
  const wanted = (plan?.places ?? []).flatMap((place) =>
    Array.from({ length: place.wanted }, () => `${place.dataCentre}/${place.instanceClass}`),
  );
  assert.deepEqual(bought.sort(), wanted.sort());
});

// Guards against draining for a short dip in demand, and against ending an instance with calls in
// progress.
test('scale-in waits, then drains, and ends only idle instances', () => {
  const instanceClasses = modelPool.instanceClasses.slice(1);
  const pool = { dataCentres: ['wien-a'], instanceClasses, least: 1, most: 8 };
  const harness = new ControllerHarness({ pool });
  harness.rate = 20;
  harness.furnish();
  harness.rows?.forEach(({ instance }) => harness.running.set(instance, 1));
  harness.advance(5 * 60_000);
  harness.rate = 4;
  assert.deepEqual(pick(harness.advance(4 * 60_000), 'drainInstance'), []);
  const effects = harness.advance(10 * 60_000);
  const drained = pick(effects, 'drainInstance');
  assert.ok(drained.length > 0);
  assert.deepEqual(pick(effects, 'endInstance'), []);
  drained.forEach(({ instance }) => harness.running.set(instance, 0));
  const ended = pick(harness.advance(20_000), 'endInstance').map(({ instance }) => instance);
  assert.deepEqual(ended.sort(), drained.map(({ instance }) => instance).sort());
});

// Guards against draining all instances of a pool at once when an operator removes their class from
// the pools table.
test('instances of a removed class serve until instances of another class replace them', () => {
  const harness = new ControllerHarness({ pool: { dataCentres: ['wien-a'], least: 1, most: 12 } });
  harness.rate = 20;
  harness.furnish();
  const instanceClasses = modelPool.instanceClasses.map((known) => ({ ...known, name: 'new' }));
  const configuration = configure(
    { ...harness.pool, instanceClasses: instanceClasses.slice(1) },
    2,
  );
  const changed = harness.tell({ type: 'configurationApplied', configuration });
  const waiting = [...changed, ...harness.advance(120_000)];
  assert.deepEqual(pick(waiting, 'drainInstance'), []);
  const oldInstanceCount = harness.rows?.length ?? 0;
  assert.ok(oldInstanceCount > 0);
  [...harness.state.pendingStarts.values()].forEach(({ startToken }) => {
    const instance = row(startToken, 'wien-a', { instanceClass: 'new', startToken });
    harness.rows?.push(instance);
    harness.loaded.set(startToken, { model: 'appraiser', version: '1' });
  });
  const replaced = harness.advance(120_000);
  assert.equal(pick(replaced, 'drainInstance').length, oldInstanceCount);
});

test('the plan is explained in rows', async () => {
  const harness = new ControllerHarness();
  harness.rate = 12;
  const effects = harness.hold();
  await matchSnapshot(import.meta.url, 'rows of a plan', explainPlan(harness.state));
  await matchSnapshot(import.meta.url, 'effects of a takeover', effects);
});

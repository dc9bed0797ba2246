import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@hornbeampond/testing';
import { isFleetEffect } from './effects.js';
import { explainPlan } from './explainPlan.js';
import {
  makeConfiguration,
  ControllerHarness,
  modelPool,
  effectsOfType,
  listStartPlaces,
  makePlatformInstance,
} from './testing/ControllerHarness.js';

// Guards against two controllers that undo each other's changes when a partitioned one still
// receives events after its lease has ended.
test('a controller without the lease changes nothing in the fleet, whatever events arrive', () => {
  const harness = new ControllerHarness();
  harness.requestsPerSecond = 60;
  harness.listedInstances = [
    makePlatformInstance('a'),
    makePlatformInstance('b', 'wien-b'),
    makePlatformInstance('stray', 'wien-a', { pool: 'gone' }),
  ];
  const [start] = effectsOfType(harness.acquireLease(), 'startInstance');
  assert.ok(start !== undefined);
  harness.dispatch({ type: 'leaseLost' });
  const configuration = makeConfiguration({ ...harness.pool, version: '2' }, 2);
  const effects = [
    ...harness.dispatch({ type: 'configurationApplied', configuration }),
    ...harness.answerStart(start.startToken, { type: 'refused', reason: 'none left' }),
    ...harness.dispatch({
      type: 'reclaimNoticed',
      instance: 'a',
      goneAt: harness.wallNow + 30_000,
    }),
    ...harness.advance(20 * 60_000),
  ];
  assert.deepEqual(effects.filter(isFleetEffect), []);
});

// Guards against buying the fleet a second time, or draining it, when the controllers of the other
// data centres are unreachable but their instances are still listed.
test('an unreachable data centre stays in the plan while its instances are listed', () => {
  const harness = new ControllerHarness();
  harness.requestsPerSecond = 5;
  harness.peerRequestsPerSecond = 5;
  harness.provisionPlan();
  const before = harness.state.plans.get('models');
  harness.peersReachable = false;
  const effects = harness.advance(15 * 60_000);
  assert.deepEqual(listStartPlaces(effects), []);
  assert.deepEqual(effectsOfType(effects, 'drainInstance'), []);
  const after = harness.state.plans.get('models');
  const [expected = 0, counted = 0] = [before, after].map(
    (plan) => plan?.currentEstimate.requestsPerSecond,
  );
  assert.ok(Math.abs(counted - expected) < 0.01, `${counted} requests a second`);
});

// Guards against a pool that falls below its need because all data centres drain at the same time,
// each relying on the capacity of the others.
test('a controller scales in only in the turn of its data centre', () => {
  const harness = new ControllerHarness();
  harness.requestsPerSecond = 80;
  harness.provisionPlan();
  harness.requestsPerSecond = 4;
  const position = [...harness.pool.dataCentres].sort().indexOf(harness.state.dataCentre);
  const { turnDuration } = harness.state.policy;
  let drained = 0;
  for (let second = 0; second < 1200; second += 1) {
    const drains = effectsOfType(harness.advance(1000), 'drainInstance');
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
    harness.requestsPerSecond = 20;
    return listStartPlaces(harness.acquireLease());
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
  harness.requestsPerSecond = 20;
  harness.provisionPlan();
  harness.listedInstances?.forEach(({ instance }) => harness.runningCalls.set(instance, 1));
  harness.advance(5 * 60_000);
  harness.requestsPerSecond = 4;
  assert.deepEqual(effectsOfType(harness.advance(4 * 60_000), 'drainInstance'), []);
  const effects = harness.advance(10 * 60_000);
  const drained = effectsOfType(effects, 'drainInstance');
  assert.ok(drained.length > 0);
  assert.deepEqual(effectsOfType(effects, 'endInstance'), []);
  drained.forEach(({ instance }) => harness.runningCalls.set(instance, 0));
  const ended = effectsOfType(harness.advance(20_000), 'endInstance').map(
    ({ instance }) => instance,
  );
  assert.deepEqual(ended.sort(), drained.map(({ instance }) => instance).sort());
});

// Guards against draining all instances of a pool at once when an operator removes their class from
// the pools table.
test('instances of a removed class serve until instances of another class replace them', () => {
  const harness = new ControllerHarness({ pool: { dataCentres: ['wien-a'], least: 1, most: 12 } });
  harness.requestsPerSecond = 20;
  harness.provisionPlan();
  const instanceClasses = modelPool.instanceClasses.map((known) => ({ ...known, name: 'new' }));
  const configuration = makeConfiguration(
    { ...harness.pool, instanceClasses: instanceClasses.slice(1) },
    2,
  );
  const changed = harness.dispatch({ type: 'configurationApplied', configuration });
  const waiting = [...changed, ...harness.advance(120_000)];
  assert.deepEqual(effectsOfType(waiting, 'drainInstance'), []);
  const oldInstanceCount = harness.listedInstances?.length ?? 0;
  assert.ok(oldInstanceCount > 0);
  [...harness.state.pendingStarts.values()].forEach(({ startToken }) => {
    const instance = makePlatformInstance(startToken, 'wien-a', {
      instanceClass: 'new',
      startToken,
    });
    harness.listedInstances?.push(instance);
    harness.loadedModels.set(startToken, { model: 'appraiser', version: '1' });
  });
  const replaced = harness.advance(120_000);
  assert.equal(effectsOfType(replaced, 'drainInstance').length, oldInstanceCount);
});

test('the plan is explained in rows', async () => {
  const harness = new ControllerHarness();
  harness.requestsPerSecond = 12;
  const effects = harness.acquireLease();
  await matchSnapshot(import.meta.url, 'rows of a plan', explainPlan(harness.state));
  await matchSnapshot(import.meta.url, 'effects of a takeover', effects);
});

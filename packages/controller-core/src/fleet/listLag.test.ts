import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ControllerHarness,
  listLogEvents,
  effectsOfType,
  listStartPlaces,
  makePlatformInstance,
} from '../testing/ControllerHarness.js';

const oneDataCentre = { pool: { dataCentres: ['wien-a'], least: 1, most: 4 } };

// Guards against buying an instance again because the platform's stale list does not show it yet.
test('an instance missing from the list is replaced only after the maximum list lag', () => {
  const harness = new ControllerHarness(oneDataCentre);
  const [start] = effectsOfType(harness.acquireLease(), 'startInstance');
  assert.ok(start !== undefined);
  const instance = makePlatformInstance('new', 'wien-a', {
    state: 'starting',
    startToken: start.startToken,
  });
  harness.answerStart(start.startToken, { type: 'started', instance });
  const within = harness.advance(55_000);
  assert.deepEqual(listStartPlaces(within), []);
  assert.ok(harness.state.fleet.has('new'));
  const after = harness.advance(10_000);
  assert.ok(listLogEvents(after).includes('instanceVanished'));
  // The loss of a reclaimable instance closes its place, so the replacement is bought elsewhere.
  assert.deepEqual(listStartPlaces(after), ['wien-a/firm']);
});

// Guards against counting a failed instance as capacity because a stale list shows it as live.
test('a stale list does not add a failed instance again', () => {
  const harness = new ControllerHarness(oneDataCentre);
  harness.listedInstances = [makePlatformInstance('dying')];
  harness.acquireLease();
  const lossEffects = harness.dispatch({ type: 'instanceLost', instance: 'dying' });
  assert.equal(listStartPlaces(lossEffects).length, 1);
  harness.advance(30_000);
  assert.ok(!harness.state.fleet.has('dying'));
});

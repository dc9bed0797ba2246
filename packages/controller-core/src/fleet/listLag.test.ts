import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControllerHarness, logged, pick, placesOf, row } from '../testing/ControllerHarness.js';

const oneDataCentre = { pool: { dataCentres: ['wien-a'], least: 1, most: 4 } };

// The platform's list is some seconds old: it does not show an instance that was just bought.
// The instance is kept, else it would be bought again at each list. Only after the bound on the
// lag is it taken for gone and replaced.
test('a list older than a purchase does not end or replace the new instance', () => {
  const harness = new ControllerHarness(oneDataCentre);
  const [start] = pick(harness.hold(), 'startInstance');
  assert.ok(start !== undefined);
  const instance = row('new', 'wien-a', { state: 'starting', startToken: start.startToken });
  harness.answerStart(start.startToken, { type: 'started', instance });
  const within = harness.advance(55_000);
  assert.deepEqual(placesOf(within), []);
  assert.ok(harness.state.fleet.has('new'));
  const after = harness.advance(10_000);
  assert.ok(logged(after).includes('instanceVanished'));
  // A vanished reclaimable instance closes its place, so the replacement is bought elsewhere.
  assert.deepEqual(placesOf(after), ['wien-a/firm']);
});

// An instance is dead, and its replacement is bought. Older lists still show it as live. Taking
// their word would count it as capacity and drain the replacement; its name is remembered.
test('a list older than a death does not bring the instance back', () => {
  const harness = new ControllerHarness(oneDataCentre);
  harness.rows = [row('dying')];
  harness.hold();
  const died = harness.tell({ type: 'instanceLost', instance: 'dying' });
  assert.equal(placesOf(died).length, 1);
  harness.advance(30_000);
  assert.ok(!harness.state.fleet.has('dying'));
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ControllerHarness,
  listLogEvents,
  effectsOfType,
  listStartPlaces,
  makePlatformInstance,
} from '../testing/ControllerHarness.js';

const oneDataCentre = { pool: { dataCentres: ['wien-a'], least: 2, most: 4 } };

// Guards against sending starts to a place over and over while the platform refuses them, and
// against never using that place again.
test('a refused start moves to the next cheapest place, and its place is retried later', () => {
  const harness = new ControllerHarness(oneDataCentre);
  const first = effectsOfType(harness.acquireLease(), 'startInstance');
  assert.deepEqual(listStartPlaces(first), ['wien-a/spot', 'wien-a/spot']);
  const refused = first.flatMap(({ startToken }) =>
    harness.answerStart(startToken, { type: 'refused', reason: 'none left' }),
  );
  assert.deepEqual(listStartPlaces(refused), ['wien-a/firm', 'wien-a/firm']);
  assert.ok(listLogEvents(refused).includes('startRefused'));

  effectsOfType(refused, 'startInstance').forEach(({ startToken }, position) => {
    const instance = makePlatformInstance(`firm-${position}`, 'wien-a', {
      instanceClass: 'firm',
      startToken,
    });
    harness.listedInstances?.push(instance);
    harness.answerStart(startToken, { type: 'started', instance });
  });
  harness.loadedModels.set('firm-0', { model: 'appraiser', version: '1' });
  harness.loadedModels.set('firm-1', { model: 'appraiser', version: '1' });
  const requestedPlaces: string[] = [];
  for (let second = 0; second < 900; second += 1) {
    const starts = effectsOfType(harness.advance(1000), 'startInstance');
    requestedPlaces.push(...listStartPlaces(starts));
    starts.forEach(({ startToken }) =>
      harness.answerStart(startToken, { type: 'refused', reason: 'none left' }),
    );
  }
  assert.ok(requestedPlaces.includes('wien-a/spot'), 'the cheap place is retried');
  assert.ok(requestedPlaces.length <= 16, `${requestedPlaces.length} starts in 15 minutes`);
});

// Guards against a second purchase under a new token when only the platform's answer was lost.
test('a lost answer to a start never buys a second instance', () => {
  const harness = new ControllerHarness(oneDataCentre);
  const tokens = new Set(
    effectsOfType(harness.acquireLease(), 'startInstance').map((start) => start.startToken),
  );
  tokens.forEach((startToken) => harness.answerStart(startToken, { type: 'lost' }));
  const resent = effectsOfType(harness.advance(50_000), 'startInstance');
  assert.ok(resent.length >= 2);
  resent.forEach(({ startToken }) => assert.ok(tokens.has(startToken), 'no new token'));

  const [startToken = ''] = tokens;
  harness.listedInstances?.push(
    makePlatformInstance('sold', 'wien-a', { startToken, state: 'starting' }),
  );
  const found = harness.advance(1000);
  assert.ok(listLogEvents(found).includes('purchaseFound'));
  assert.equal(harness.state.pendingStarts.size, 1);
});

// Guards against a pool that stays too small because the platform never answers for one class.
test('unanswered starts do not block purchases at the next cheapest place', () => {
  const harness = new ControllerHarness(oneDataCentre);
  harness.acquireLease();
  const later = harness.advance(70_000);
  assert.ok(listLogEvents(later).includes('startUnanswered'));
  assert.ok(listStartPlaces(later).includes('wien-a/firm'));
});

// Guards against buying a second instance for one that a crashed holder bought, and against paying
// indefinitely for an instance whose pool is not in the table.
test('an unknown listed instance joins its pool, or is ended if its pool is not in the table', () => {
  const harness = new ControllerHarness({ pool: { ...oneDataCentre.pool, least: 1 } });
  harness.listedInstances = [
    makePlatformInstance('orphan', 'wien-a', { startToken: 'wien-a-1-1' }),
    makePlatformInstance('stray', 'wien-a', { pool: 'gone' }),
  ];
  harness.dispatch({ type: 'leaseHeld', epoch: 2, unfencedFrom: 0 });
  const effects = harness.advance(90_000);
  assert.deepEqual(listStartPlaces(effects), []);
  assert.ok(listLogEvents(effects).includes('orphanClaimed'));
  assert.deepEqual(
    effectsOfType(effects, 'drainInstance').map(({ instance, reason }) => `${instance} ${reason}`),
    ['stray stray'],
  );
  assert.deepEqual(
    effectsOfType(effects, 'endInstance').map(({ instance }) => instance),
    ['stray'],
  );
});

// Guards against buying the pool again at a takeover, while the list does not show the
// predecessor's last purchases yet.
test('a new holder waits for the purchases of its predecessor to be listed', () => {
  const harness = new ControllerHarness(oneDataCentre);
  harness.dispatch({ type: 'leaseHeld', epoch: 2, unfencedFrom: 0 });
  const early = harness.advance(5000);
  harness.listedInstances = [
    makePlatformInstance('a', 'wien-a', { state: 'starting' }),
    makePlatformInstance('b', 'wien-a'),
  ];
  const late = harness.advance(30_000);
  assert.deepEqual(listStartPlaces([...early, ...late]), []);
});

// Guards against paying for an instance because the request to end it, or its answer, was lost.
test('a request to end an instance is resent until it is answered', () => {
  const harness = new ControllerHarness(oneDataCentre);
  harness.listedInstances = [
    makePlatformInstance('a'),
    makePlatformInstance('b'),
    makePlatformInstance('old', 'wien-a', { state: 'leaving' }),
  ];
  harness.acquireLease();
  const ends = effectsOfType(harness.advance(70_000), 'endInstance').filter(
    ({ instance }) => instance === 'old',
  );
  assert.ok(ends.length >= 2);
  harness.dispatch({ type: 'endAnswered', instance: 'old', ok: true });
  assert.deepEqual(effectsOfType(harness.advance(70_000), 'endInstance'), []);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControllerHarness, logged, pick, placesOf, row } from '../testing/ControllerHarness.js';

const oneDataCentre = { pool: { dataCentres: ['wien-a'], least: 2, most: 4 } };

// The operator sees a pool below its size and the platform refusing its cheapest class. The
// refusal closes that place with a growing wait and the next cheapest is bought in the same
// event; when the wait is over the cheap place is asked again. Without the back-off the platform
// would be asked the same thing for ever while the deadline is missed.
test('a refused start goes to the next cheapest place and comes back', () => {
  const harness = new ControllerHarness(oneDataCentre);
  const first = pick(harness.hold(), 'startInstance');
  assert.deepEqual(placesOf(first), ['wien-a/spot', 'wien-a/spot']);
  const refused = first.flatMap(({ startToken }) =>
    harness.answerStart(startToken, { type: 'refused', reason: 'none left' }),
  );
  assert.deepEqual(placesOf(refused), ['wien-a/firm', 'wien-a/firm']);
  assert.ok(logged(refused).includes('startRefused'));

  pick(refused, 'startInstance').forEach(({ startToken }, position) => {
    const instance = row(`firm-${position}`, 'wien-a', { instanceClass: 'firm', startToken });
    harness.rows?.push(instance);
    harness.answerStart(startToken, { type: 'started', instance });
  });
  harness.loaded.set('firm-0', { model: 'appraiser', version: '1' });
  harness.loaded.set('firm-1', { model: 'appraiser', version: '1' });
  const asked: string[] = [];
  for (let second = 0; second < 900; second += 1) {
    const starts = pick(harness.advance(1000), 'startInstance');
    asked.push(...placesOf(starts));
    starts.forEach(({ startToken }) =>
      harness.answerStart(startToken, { type: 'refused', reason: 'none left' }),
    );
  }
  assert.ok(asked.includes('wien-a/spot'), 'the cheap place is asked again');
  assert.ok(asked.length <= 16, `asked ${asked.length} times in 15 minutes`);
});

// The platform sells the instance but its answer is lost, so the caller's capacity is on its way
// while the controller cannot know. It resends under the same token, which the platform answers
// with the same instance. A new token would buy, and bill, a second one.
test('a lost answer to a purchase never buys twice', () => {
  const harness = new ControllerHarness(oneDataCentre);
  const tokens = new Set(pick(harness.hold(), 'startInstance').map((start) => start.startToken));
  tokens.forEach((startToken) => harness.answerStart(startToken, { type: 'lost' }));
  const resent = pick(harness.advance(50_000), 'startInstance');
  assert.ok(resent.length >= 2);
  resent.forEach(({ startToken }) => assert.ok(tokens.has(startToken), 'no new token'));

  const [startToken = ''] = tokens;
  harness.rows?.push(row('sold', 'wien-a', { startToken, state: 'starting' }));
  const found = harness.advance(1000);
  assert.ok(logged(found).includes('purchaseFound'));
  assert.equal(harness.state.pendingStarts.size, 1);
});

// The platform answers nothing at all for one class for over a minute. The purchases stay open
// under their tokens, but no longer count as capacity to come: the next cheapest is bought, for
// otherwise a dead interface for one class would keep the pool below its need.
test('starts that stay unanswered do not hold up the next cheapest place', () => {
  const harness = new ControllerHarness(oneDataCentre);
  harness.hold();
  const later = harness.advance(70_000);
  assert.ok(logged(later).includes('startUnanswered'));
  assert.ok(placesOf(later).includes('wien-a/firm'));
});

// A holder buys and dies before it could note the purchase. The list shows its successor an
// instance that it never bought; it is claimed for its pool, so nothing is bought in its place.
// One whose pool is in no table would be paid for ever; it is drained and, once idle, ended.
test('orphans are claimed, or drained and ended if no pool wants them', () => {
  const harness = new ControllerHarness({ pool: { ...oneDataCentre.pool, least: 1 } });
  harness.rows = [
    row('orphan', 'wien-a', { startToken: 'wien-a-1-1' }),
    row('stray', 'wien-a', { pool: 'gone' }),
  ];
  harness.tell({ type: 'leaseHeld', epoch: 2, unfencedFrom: 0 });
  const effects = harness.advance(90_000);
  assert.deepEqual(placesOf(effects), []);
  assert.ok(logged(effects).includes('orphanClaimed'));
  assert.deepEqual(
    pick(effects, 'drainInstance').map(({ instance, reason }) => `${instance} ${reason}`),
    ['stray stray'],
  );
  assert.deepEqual(
    pick(effects, 'endInstance').map(({ instance }) => instance),
    ['stray'],
  );
});

// A holder buys two instances and dies; its successor's first list does not show them yet. It
// waits before it buys, and by then the list shows them. Without the wait the pool would be
// bought a second time at each change of holder.
test("a new holder does not buy again what its predecessor's last purchases bring", () => {
  const harness = new ControllerHarness(oneDataCentre);
  harness.tell({ type: 'leaseHeld', epoch: 2, unfencedFrom: 0 });
  const early = harness.advance(5000);
  harness.rows = [row('a', 'wien-a', { state: 'starting' }), row('b', 'wien-a')];
  const late = harness.advance(30_000);
  assert.deepEqual(placesOf([...early, ...late]), []);
});

// An end's answer is lost. The instance is still listed as leaving and billed; the end is sent
// again until it is answered, which is harmless where it had been carried out.
test('an end whose answer was lost is sent again', () => {
  const harness = new ControllerHarness(oneDataCentre);
  harness.rows = [row('a'), row('b'), row('old', 'wien-a', { state: 'leaving' })];
  harness.hold();
  const ends = pick(harness.advance(70_000), 'endInstance').filter(
    ({ instance }) => instance === 'old',
  );
  assert.ok(ends.length >= 2);
  harness.tell({ type: 'endAnswered', instance: 'old', ok: true });
  assert.deepEqual(pick(harness.advance(70_000), 'endInstance'), []);
});

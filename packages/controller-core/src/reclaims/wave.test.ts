import assert from 'node:assert/strict';
import { test } from 'node:test';
import { measureMix } from '../planning/chooseMix.js';
import { listOffers } from '../planning/offers.js';
import { ControllerHarness, logged, row } from '../testing/ControllerHarness.js';

/** A controller in the rush: three data centres with just what the plan wants. */
function makeHarnessAtPeak(): ControllerHarness {
  const pool = { dataCentres: ['wien-a', 'wien-b', 'stpoelten'] };
  const harness = new ControllerHarness({ pool });
  harness.rate = 20;
  harness.furnish();
  return harness;
}

function countWantedByPlace(harness: ControllerHarness): Record<string, number> {
  const places = harness.state.plans.get('models')?.places ?? [];
  return Object.fromEntries(
    places
      .filter(({ wanted }) => wanted > 0)
      .map(({ dataCentre, instanceClass, wanted }) => [`${dataCentre}/${instanceClass}`, wanted]),
  );
}

// At noon the platform takes every reclaimable instance of one data centre on seconds of notice.
// Callers must not notice: what is left still meets the deadline. In the very event of the notice
// the plan replaces the lost slots, in other places than the one hit, and not all in one.
test('a wave during the rush leaves enough, and is replaced at once in several places', () => {
  const harness = makeHarnessAtPeak();
  const before = countWantedByPlace(harness);
  const plan = harness.state.plans.get('models');
  assert.ok(plan !== undefined && plan.missingSlots === 0);
  const offers = listOffers(harness.state, harness.pool);
  const counts = plan.places.map(({ wanted }) => wanted);
  const { total, largestLoss } = measureMix(offers, counts, 0);
  assert.ok(total - largestLoss >= plan.need.afterLoss);

  const goneAt = harness.wallNow + 30_000;
  const reclaimed = (harness.rows ?? []).filter(({ dataCentre }) => dataCentre === 'stpoelten');
  assert.ok(reclaimed.length > 0);
  const effects = reclaimed.flatMap(({ instance }) =>
    harness.tell({ type: 'reclaimNoticed', instance, goneAt }),
  );
  assert.ok(logged(effects).includes('planChanged'));
  const after = countWantedByPlace(harness);
  assert.equal(after['stpoelten/spot'], undefined, 'nothing is bought where the wave was');
  const grown = Object.keys(after).filter((place) => (after[place] ?? 0) > (before[place] ?? 0));
  const replaced = grown.reduce(
    (sum, place) => sum + (after[place] ?? 0) - (before[place] ?? 0),
    0,
  );
  assert.ok(replaced >= reclaimed.length);
  assert.ok(grown.length > 1, `all in ${grown.join()}`);
});

// Only some of a data centre's instances are under notice. The others stay in the plan, and
// nothing is drained because of it.
test('a partial notice replaces only what it takes', () => {
  const harness = makeHarnessAtPeak();
  const before = countWantedByPlace(harness);
  const place = Object.keys(before).find((name) => (before[name] ?? 0) > 1);
  assert.ok(place !== undefined);
  const [dataCentre = ''] = place.split('/');
  const goneAt = harness.wallNow + 60_000;
  harness.tell({ type: 'reclaimNoticed', instance: `${dataCentre}-spot-0`, goneAt });
  const after = countWantedByPlace(harness);
  assert.equal(after[place], (before[place] ?? 0) - 1);
});

// After the wave its place opens again. The plan does not run back and forth between places: an
// instance is worth keeping where it stands unless another place is cheaper by a good share, so
// within an hour of steady demand the plan changes only a few times.
test('recovery from a wave does not oscillate', () => {
  const harness = makeHarnessAtPeak();
  const goneAt = harness.wallNow + 30_000;
  (harness.rows ?? [])
    .filter(({ dataCentre }) => dataCentre === 'stpoelten')
    .forEach(({ instance }) => harness.tell({ type: 'reclaimNoticed', instance, goneAt }));
  harness.rows = harness.rows?.filter(({ dataCentre }) => dataCentre !== 'stpoelten');
  harness.pool.dataCentres.forEach((dataCentre) => {
    const wanted = countWantedByPlace(harness)[`${dataCentre}/spot`] ?? 0;
    const listed = (harness.rows ?? []).filter((known) => known.dataCentre === dataCentre).length;
    for (let number = listed; number < wanted; number += 1) {
      const instance = `${dataCentre}-new-${number}`;
      harness.rows?.push(row(instance, dataCentre));
      harness.loaded.set(instance, { model: 'appraiser', version: '1' });
    }
  });
  const changes = logged(harness.advance(60 * 60_000)).filter((event) => event === 'planChanged');
  assert.ok(changes.length <= 4, `the plan changed ${changes.length} times`);
});

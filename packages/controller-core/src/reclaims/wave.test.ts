import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countMixSlots } from '../planning/chooseMix.js';
import { listOffers } from '../planning/offers.js';
import {
  ControllerHarness,
  listLogEvents,
  makePlatformInstance,
} from '../testing/ControllerHarness.js';

/** A controller at peak demand: three data centres with just the instances that the plan wants. */
function makeHarnessAtPeak(): ControllerHarness {
  const pool = { dataCentres: ['wien-a', 'wien-b', 'stpoelten'] };
  const harness = new ControllerHarness({ pool });
  harness.requestsPerSecond = 20;
  harness.provisionPlan();
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

// Guards against missed deadlines when all reclaimable instances of one data centre are reclaimed
// at peak demand, and against replacing them all at one place.
test('a reclaim wave at peak demand leaves enough capacity and is replaced at several places', () => {
  const harness = makeHarnessAtPeak();
  const before = countWantedByPlace(harness);
  const plan = harness.state.plans.get('models');
  assert.ok(plan !== undefined && plan.missingSlots === 0);
  const offers = listOffers(harness.state, harness.pool);
  const counts = plan.places.map(({ wanted }) => wanted);
  const { totalSlots: total, maxLostSlots: largestLoss } = countMixSlots(offers, counts, 0);
  assert.ok(total - largestLoss >= plan.need.afterLoss);

  const goneAt = harness.wallNow + 30_000;
  const reclaimed = (harness.listedInstances ?? []).filter(
    ({ dataCentre }) => dataCentre === 'stpoelten',
  );
  assert.ok(reclaimed.length > 0);
  const effects = reclaimed.flatMap(({ instance }) =>
    harness.dispatch({ type: 'reclaimNoticed', instance, goneAt }),
  );
  assert.ok(listLogEvents(effects).includes('planChanged'));
  const after = countWantedByPlace(harness);
  assert.equal(after['stpoelten/spot'], undefined, 'nothing is bought at the place of the wave');
  const grown = Object.keys(after).filter((place) => (after[place] ?? 0) > (before[place] ?? 0));
  const replaced = grown.reduce(
    (sum, place) => sum + (after[place] ?? 0) - (before[place] ?? 0),
    0,
  );
  assert.ok(replaced >= reclaimed.length);
  assert.ok(grown.length > 1, `replaced only at ${grown.join()}`);
});

// Guards against dropping instances from the plan that are not under notice.
test('a notice for one instance removes only that instance from the plan', () => {
  const harness = makeHarnessAtPeak();
  const before = countWantedByPlace(harness);
  const place = Object.keys(before).find((name) => (before[name] ?? 0) > 1);
  assert.ok(place !== undefined);
  const [dataCentre = ''] = place.split('/');
  const goneAt = harness.wallNow + 60_000;
  harness.dispatch({ type: 'reclaimNoticed', instance: `${dataCentre}-spot-0`, goneAt });
  const after = countWantedByPlace(harness);
  assert.equal(after[place], (before[place] ?? 0) - 1);
});

// Guards against moving instances back and forth between places once a place that was closed by a
// reclaim wave reopens.
test('the plan does not oscillate after a reclaim wave', () => {
  const harness = makeHarnessAtPeak();
  const goneAt = harness.wallNow + 30_000;
  (harness.listedInstances ?? [])
    .filter(({ dataCentre }) => dataCentre === 'stpoelten')
    .forEach(({ instance }) => harness.dispatch({ type: 'reclaimNoticed', instance, goneAt }));
  harness.listedInstances = harness.listedInstances?.filter(
    ({ dataCentre }) => dataCentre !== 'stpoelten',
  );
  harness.pool.dataCentres.forEach((dataCentre) => {
    const wanted = countWantedByPlace(harness)[`${dataCentre}/spot`] ?? 0;
    const listed = (harness.listedInstances ?? []).filter(
      (known) => known.dataCentre === dataCentre,
    ).length;
    for (let number = listed; number < wanted; number += 1) {
      const instance = `${dataCentre}-new-${number}`;
      harness.listedInstances?.push(makePlatformInstance(instance, dataCentre));
      harness.loadedModels.set(instance, { model: 'appraiser', version: '1' });
    }
  });
  const changes = listLogEvents(harness.advance(60 * 60_000)).filter(
    (event) => event === 'planChanged',
  );
  assert.ok(changes.length <= 4, `the plan changed ${changes.length} times`);
});

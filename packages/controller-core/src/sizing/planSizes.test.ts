import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PoolSizing } from '@hornbeampond/schema';
import {
  planSizes,
  type NeedWindows,
  type DataCentreState,
  type InstanceNeed,
} from './planSizes.js';

const sizing: PoolSizing = {
  least: 1,
  most: 4,
  startMilliseconds: 4000,
  prices: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
  reclaimableShare: 0.15,
};

function makeDataCentre(
  dataCentre: string,
  fields: Partial<DataCentreState> = {},
): DataCentreState {
  return {
    dataCentre,
    reclaimable: 0,
    onDemand: 0,
    isClosed: false,
    orderedOnDemand: 0,
    ...fields,
  };
}

function makeEqualNeedWindows(need: InstanceNeed): NeedWindows {
  return { longWindow: need, shortWindow: need };
}

/** The plan as text, such as `a 2+0` for two reclaimable and no on-demand instances. */
function plan(
  need: InstanceNeed,
  dataCentres: readonly DataCentreState[],
  limits = sizing,
): string {
  return planSizes({ sizing: limits, needWindows: makeEqualNeedWindows(need), dataCentres })
    .map(({ dataCentre, reclaimable, onDemand }) => `${dataCentre} ${reclaimable}+${onDemand}`)
    .join(', ');
}

const dataCentreNames = ['a', 'b', 'c', 'd'];

test('reclaimable instances are spread evenly, with the remainder in the cheapest data centres', () => {
  const serving = dataCentreNames.map((name) => makeDataCentre(name, { reclaimable: 2 }));
  assert.equal(plan({ normal: 6, afterLoss: 2 }, serving), 'a 1+0, b 2+0, c 1+0, d 2+0');
  const expensive = { ...sizing, reclaimableShare: 0.8 };
  assert.equal(plan({ normal: 6, afterLoss: 4 }, serving, expensive), 'a 1+0, b 2+0, c 1+0, d 2+0');
});

// Guards against a shortage after the second of two waves that follow each other faster than an
// instance starts.
test('while reclaimable instances are cheap, enough are planned to cover two waves', () => {
  const serving = dataCentreNames.map((name) => makeDataCentre(name, { reclaimable: 2 }));
  assert.equal(plan({ normal: 6, afterLoss: 3 }, serving), 'a 2+0, b 2+0, c 1+0, d 2+0');
  assert.equal(plan({ normal: 6, afterLoss: 4 }, serving), 'a 2+0, b 2+0, c 2+0, d 2+0');
});

// Guards against ever larger orders where no number of instances would be enough after two waves.
test('the number of reclaimable instances is limited if few data centres exist or are open', () => {
  const need = { normal: 3, afterLoss: 2 };
  const twoDataCentres = ['a', 'b'].map((name) => makeDataCentre(name, { reclaimable: 2 }));
  const threeDataCentres = ['a', 'b', 'c'].map((name) => makeDataCentre(name, { reclaimable: 1 }));
  assert.equal(plan(need, twoDataCentres), 'a 2+0, b 2+0');
  assert.equal(plan(need, threeDataCentres), 'a 1+0, b 1+0, c 1+0');
  const halfClosed = dataCentreNames.map((name) => makeDataCentre(name, { isClosed: name > 'b' }));
  const sizingUpToForty = { ...sizing, most: 40 };
  assert.match(plan(need, halfClosed, sizingUpToForty), /^a 3\+\d, b 3\+\d, c 0\+\d, d 0\+\d$/);
});

test('on-demand instances are kept until the reclaimable ones are listed', () => {
  const serving = dataCentreNames.map((name) =>
    makeDataCentre(name, { onDemand: name === 'c' ? 2 : 1 }),
  );
  assert.equal(plan({ normal: 5, afterLoss: 3 }, serving), 'a 2+1, b 2+1, c 1+0, d 2+1');
});

/**
 * Returns the on-demand instances planned after a wave in b, with two reclaimable ones left in each
 * other data centre.
 */
function planAfterWave(recentWaveCount: number, isClosed: boolean): number {
  const dataCentres = dataCentreNames.map((name) =>
    name === 'b' ? makeDataCentre(name, { isClosed }) : makeDataCentre(name, { reclaimable: 2 }),
  );
  const needWindows = makeEqualNeedWindows({ normal: 8, afterLoss: 5 });
  return planSizes({ sizing, needWindows, dataCentres, recentWaveCount }).reduce(
    (sum, { onDemand }) => sum + onDemand,
    0,
  );
}

// Guards against a shortage after the next wave, which may come before an instance ordered after
// it serves.
test('after a wave, on-demand instances for the next one are planned immediately', () => {
  assert.equal(planAfterWave(1, true), 1);
  assert.equal(planAfterWave(1, false), 1);
});

// Guards against a shortage when waves follow each other faster than an instance starts and no
// reclaimable instances are available to replace the lost ones.
test('after several waves without replacements, the plan covers as many further waves', () => {
  assert.equal(planAfterWave(2, true), 3);
  assert.equal(planAfterWave(3, true), 5);
  assert.equal(planAfterWave(2, false), 1);
});

// Guards against ending serving instances: the platform refuses an order for more, but an order
// for fewer ends instances.
test('a closed data centre keeps its reclaimable instances', () => {
  const dataCentres = dataCentreNames.map((name) =>
    makeDataCentre(name, { reclaimable: 1, isClosed: name === 'b' }),
  );
  const planned = planSizes({
    sizing,
    needWindows: makeEqualNeedWindows({ normal: 8, afterLoss: 5 }),
    dataCentres,
  });
  assert.equal(planned.find(({ dataCentre }) => dataCentre === 'b')?.reclaimable, 1);
});

// Guards against paying for expensive on-demand instances longer than the demand lasts. The cheap
// reclaimable ones stay for the next peak.
test('on-demand instances are removed before reclaimable ones', () => {
  const dataCentres = dataCentreNames.map((name) =>
    makeDataCentre(name, {
      reclaimable: name === 'b' ? 0 : 2,
      isClosed: name === 'b',
      orderedOnDemand: 1,
    }),
  );
  const needWindows = {
    longWindow: { normal: 6, afterLoss: 5 },
    shortWindow: { normal: 3, afterLoss: 2 },
  };
  const planned = planSizes({ sizing, needWindows, dataCentres });
  const sum = (kind: 'reclaimable' | 'onDemand') =>
    planned.reduce((total, size) => total + size[kind], 0);
  assert.deepEqual([sum('reclaimable'), sum('onDemand')], [12, 1]);
});

// Guards against moving instances: each move costs a start and interrupts the answers on the old
// instance.
test('on-demand instances stay in their data centres', () => {
  const dataCentres = [
    makeDataCentre('a', { reclaimable: 2, onDemand: 2, orderedOnDemand: 2 }),
    makeDataCentre('b', { isClosed: true }),
    makeDataCentre('c', { isClosed: true }),
    makeDataCentre('d', { reclaimable: 2 }),
  ];
  assert.match(
    plan({ normal: 6, afterLoss: 4 }, dataCentres),
    /^a \d\+2, b 0\+1, c 0\+1, d \d\+0$/,
  );
});

test('the plan stays within the limits of each data centre, whatever the need', () => {
  const dataCentres = dataCentreNames.map((name) => makeDataCentre(name));
  planSizes({
    sizing,
    needWindows: makeEqualNeedWindows({ normal: 100, afterLoss: 90 }),
    dataCentres,
  }).forEach((size) => {
    const total = size.reclaimable + size.onDemand;
    assert.ok(total >= sizing.least && total <= sizing.most, JSON.stringify(size));
  });
});

test('on-demand instances cover the need if there are no reclaimable ones', () => {
  const { reclaimableShare, ...sizingWithoutReclaimable } = sizing;
  assert.equal(reclaimableShare, 0.15);
  const dataCentres = dataCentreNames.map((name) => makeDataCentre(name));
  assert.equal(
    plan({ normal: 5, afterLoss: 3 }, dataCentres, sizingWithoutReclaimable),
    'a 0+1, b 0+2, c 0+1, d 0+1',
  );
});

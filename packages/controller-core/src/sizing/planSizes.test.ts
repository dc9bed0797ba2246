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

function makeSteadyNeeds(need: InstanceNeed): NeedWindows {
  return { longWindow: need, shortWindow: need };
}

/** The plan as text, such as `a 2+0` for two reclaimable and no on-demand instances. */
function plan(
  need: InstanceNeed,
  dataCentres: readonly DataCentreState[],
  limits = sizing,
): string {
  return planSizes({ sizing: limits, needs: makeSteadyNeeds(need), dataCentres })
    .map(({ dataCentre, reclaimable, onDemand }) => `${dataCentre} ${reclaimable}+${onDemand}`)
    .join(', ');
}

const dataCentreNames = ['a', 'b', 'c', 'd'];

test('reclaimable instances are spread evenly, the cheapest places having one more', () => {
  const serving = dataCentreNames.map((name) => makeDataCentre(name, { reclaimable: 2 }));
  assert.equal(plan({ normal: 6, afterLoss: 2 }, serving), 'a 1+0, b 2+0, c 1+0, d 2+0');
  const expensive = { ...sizing, reclaimableShare: 0.8 };
  assert.equal(plan({ normal: 6, afterLoss: 4 }, serving, expensive), 'a 1+0, b 2+0, c 1+0, d 2+0');
});

// Guards against callers who wait after the second of two waves that come sooner than a start takes.
test('as many cheap reclaimable instances are held as two waves leave enough of', () => {
  const serving = dataCentreNames.map((name) => makeDataCentre(name, { reclaimable: 2 }));
  assert.equal(plan({ normal: 6, afterLoss: 3 }, serving), 'a 2+0, b 2+0, c 1+0, d 2+0');
  assert.equal(plan({ normal: 6, afterLoss: 4 }, serving), 'a 2+0, b 2+0, c 2+0, d 2+0');
});

// Guards against orders without end where nothing is left after two waves, however many are held.
test('of few data centres, or few that give any, no more is held than makes sense', () => {
  const need = { normal: 3, afterLoss: 2 };
  const twoDataCentres = ['a', 'b'].map((name) => makeDataCentre(name, { reclaimable: 2 }));
  const threeDataCentres = ['a', 'b', 'c'].map((name) => makeDataCentre(name, { reclaimable: 1 }));
  assert.equal(plan(need, twoDataCentres), 'a 2+0, b 2+0');
  assert.equal(plan(need, threeDataCentres), 'a 1+0, b 1+0, c 1+0');
  const halfClosed = dataCentreNames.map((name) => makeDataCentre(name, { isClosed: name > 'b' }));
  const sizingUpToForty = { ...sizing, most: 40 };
  assert.match(plan(need, halfClosed, sizingUpToForty), /^a 3\+\d, b 3\+\d, c 0\+\d, d 0\+\d$/);
});

test('on-demand instances serve until the reclaimable ones are there', () => {
  const serving = dataCentreNames.map((name) =>
    makeDataCentre(name, { onDemand: name === 'c' ? 2 : 1 }),
  );
  assert.equal(plan({ normal: 5, afterLoss: 3 }, serving), 'a 2+1, b 2+1, c 1+0, d 2+1');
});

/** On-demand instances planned after a wave has taken b, with two reclaimable ones left elsewhere. */
function planAfterWave(recentWaveCount: number, isClosed: boolean): number {
  const dataCentres = dataCentreNames.map((name) =>
    name === 'b' ? makeDataCentre(name, { isClosed }) : makeDataCentre(name, { reclaimable: 2 }),
  );
  const needs = makeSteadyNeeds({ normal: 8, afterLoss: 5 });
  return planSizes({ sizing, needs, dataCentres, recentWaveCount }).reduce(
    (sum, { onDemand }) => sum + onDemand,
    0,
  );
}

// Callers wait or are refused while a wave has left too few engines. The platform takes all of b on
// notice; the next wave follows before an instance ordered then would serve. So what one more loss
// would lack is ordered with the first, also where reclaimable ones are to be had again.
test('after a wave, what the next one would lack is ordered at once', () => {
  assert.equal(planAfterWave(1, true), 1);
  assert.equal(planAfterWave(1, false), 1);
});

// The second wave has come within a start of the first, and none are to be had: a third may come
// before what is ordered now serves.
test('after waves in a row that cannot be made good, as many again are prepared for', () => {
  assert.equal(planAfterWave(2, true), 3);
  assert.equal(planAfterWave(3, true), 5);
  assert.equal(planAfterWave(2, false), 1);
});

// The platform answers an order for more with a refusal, and takes one for fewer as an order to end
// instances. A plan that counted a place without more to give as empty would end what serves there.
test('a place without more to give keeps what it has', () => {
  const dataCentres = dataCentreNames.map((name) =>
    makeDataCentre(name, { reclaimable: 1, isClosed: name === 'b' }),
  );
  const planned = planSizes({
    sizing,
    needs: makeSteadyNeeds({ normal: 8, afterLoss: 5 }),
    dataCentres,
  });
  assert.equal(planned.find(({ dataCentre }) => dataCentre === 'b')?.reclaimable, 1);
});

// A rush is over. The cheap instances stay for the next one; what stands in for those that a wave
// took costs several times as much, and goes as soon as the rush that it was ordered for.
test('on-demand instances are let go before reclaimable ones', () => {
  const dataCentres = dataCentreNames.map((name) =>
    makeDataCentre(name, {
      reclaimable: name === 'b' ? 0 : 2,
      isClosed: name === 'b',
      orderedOnDemand: 1,
    }),
  );
  const needs = {
    longWindow: { normal: 6, afterLoss: 5 },
    shortWindow: { normal: 3, afterLoss: 2 },
  };
  const planned = planSizes({ sizing, needs, dataCentres });
  const sum = (kind: 'reclaimable' | 'onDemand') =>
    planned.reduce((total, size) => total + size[kind], 0);
  assert.deepEqual([sum('reclaimable'), sum('onDemand')], [12, 1]);
});

// Each move between data centres costs a start and cuts the answers that run on the old instance.
test('what was planned on demand stays where it is', () => {
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

test('no place is planned beyond its bounds, whatever is needed', () => {
  const dataCentres = dataCentreNames.map((name) => makeDataCentre(name));
  planSizes({
    sizing,
    needs: makeSteadyNeeds({ normal: 100, afterLoss: 90 }),
    dataCentres,
  }).forEach((size) => {
    const total = size.reclaimable + size.onDemand;
    assert.ok(total >= sizing.least && total <= sizing.most, JSON.stringify(size));
  });
});

test('where nothing is reclaimable, on-demand instances carry the need', () => {
  const { reclaimableShare, ...sizingWithoutReclaimable } = sizing;
  assert.equal(reclaimableShare, 0.15);
  const dataCentres = dataCentreNames.map((name) => makeDataCentre(name));
  assert.equal(
    plan({ normal: 5, afterLoss: 3 }, dataCentres, sizingWithoutReclaimable),
    'a 0+1, b 0+2, c 0+1, d 0+1',
  );
});

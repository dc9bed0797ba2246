import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PoolSizing } from '@hornbeampond/schema';
import { planSizes, type NeedSpans, type PlaceState, type SizeNeed } from './planSizes.js';

const sizing: PoolSizing = {
  least: 1,
  most: 4,
  startMilliseconds: 4000,
  prices: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
  reclaimableShare: 0.15,
};

function place(dataCentre: string, fields: Partial<PlaceState> = {}): PlaceState {
  return {
    dataCentre,
    reclaimable: 0,
    onDemand: 0,
    isClosed: false,
    plannedOnDemand: 0,
    ...fields,
  };
}

function steady(need: SizeNeed): NeedSpans {
  return { lately: need, now: need };
}

/** The plan as text, such as `a 2+0` for two reclaimable and no on-demand instances. */
function plan(need: SizeNeed, places: readonly PlaceState[], limits = sizing): string {
  return planSizes({ sizing: limits, needs: steady(need), places })
    .map(({ dataCentre, reclaimable, onDemand }) => `${dataCentre} ${reclaimable}+${onDemand}`)
    .join(', ');
}

const four = ['a', 'b', 'c', 'd'];

test('reclaimable instances are spread evenly, the cheapest places having one more', () => {
  const serving = four.map((name) => place(name, { reclaimable: 2 }));
  assert.equal(plan({ normal: 6, afterLoss: 4 }, serving), 'a 1+0, b 2+0, c 1+0, d 2+0');
});

test('on-demand instances serve until the reclaimable ones are there', () => {
  const before = four.map((name) => place(name, { onDemand: name === 'c' ? 2 : 1 }));
  assert.equal(plan({ normal: 5, afterLoss: 3 }, before), 'a 1+1, b 2+1, c 1+0, d 1+1');
});

// Callers wait or are refused while a wave has left too few engines. The platform takes all of b on
// notice and has no more to give for a while; the next wave follows before an instance ordered then
// would serve. So what one more loss would lack is ordered with the first.
test('after a wave, what the next one would lack is ordered at once', () => {
  const places = [
    place('a', { reclaimable: 2 }),
    place('b', { isClosed: true }),
    place('c', { reclaimable: 2 }),
    place('d', { reclaimable: 2 }),
  ];
  const planned = planSizes({ sizing, needs: steady({ normal: 8, afterLoss: 5 }), places });
  assert.equal(
    planned.reduce((sum, { onDemand }) => sum + onDemand, 0),
    3,
  );
});

// The same wave, but there are reclaimable instances to be had elsewhere: those come as soon as
// on-demand ones, at a fraction of the price, so only the very next wave is made up for.
test('after a wave that can be made good elsewhere, one more is prepared for', () => {
  const places = [
    place('a', { reclaimable: 2 }),
    place('b'),
    place('c', { reclaimable: 2 }),
    place('d', { reclaimable: 2 }),
  ];
  const planned = planSizes({ sizing, needs: steady({ normal: 8, afterLoss: 5 }), places });
  assert.equal(
    planned.reduce((sum, { onDemand }) => sum + onDemand, 0),
    1,
  );
});

// The platform answers an order for more with a refusal, and takes one for fewer as an order to end
// instances. A plan that counted a place without more to give as empty would end what serves there.
test('a place without more to give keeps what it has', () => {
  const places = four.map((name) => place(name, { reclaimable: 1, isClosed: name === 'b' }));
  const planned = planSizes({ sizing, needs: steady({ normal: 8, afterLoss: 5 }), places });
  assert.equal(planned.find(({ dataCentre }) => dataCentre === 'b')?.reclaimable, 1);
});

// A rush is over. The cheap instances stay for the next one; what stands in for those that a wave
// took costs several times as much, and goes as soon as the rush that it was ordered for.
test('on-demand instances are let go before reclaimable ones', () => {
  const places = four.map((name) =>
    place(name, { reclaimable: name === 'b' ? 0 : 2, isClosed: name === 'b', plannedOnDemand: 1 }),
  );
  const needs = { lately: { normal: 6, afterLoss: 5 }, now: { normal: 3, afterLoss: 2 } };
  const planned = planSizes({ sizing, needs, places });
  const sum = (kind: 'reclaimable' | 'onDemand') =>
    planned.reduce((total, size) => total + size[kind], 0);
  assert.deepEqual([sum('reclaimable'), sum('onDemand')], [8, 1]);
});

// Each move between data centres costs a start and cuts the answers that run on the old instance.
test('what was planned on demand stays where it is', () => {
  const places = [
    place('a', { reclaimable: 2, onDemand: 2, plannedOnDemand: 2 }),
    place('b', { isClosed: true }),
    place('c', { isClosed: true }),
    place('d', { reclaimable: 2 }),
  ];
  assert.match(plan({ normal: 6, afterLoss: 4 }, places), /^a \d\+2, b 0\+1, c 0\+1, d \d\+0$/);
});

test('no place is planned beyond its bounds, whatever is needed', () => {
  const places = four.map((name) => place(name));
  planSizes({ sizing, needs: steady({ normal: 100, afterLoss: 90 }), places }).forEach((size) => {
    const total = size.reclaimable + size.onDemand;
    assert.ok(total >= sizing.least && total <= sizing.most, JSON.stringify(size));
  });
});

test('where nothing is reclaimable, on-demand instances carry the need', () => {
  const { reclaimableShare, ...firm } = sizing;
  assert.equal(reclaimableShare, 0.15);
  const places = four.map((name) => place(name));
  assert.equal(plan({ normal: 5, afterLoss: 3 }, places, firm), 'a 0+1, b 0+2, c 0+1, d 0+1');
});

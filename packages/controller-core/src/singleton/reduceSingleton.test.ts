import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  emptyConfiguration,
  type EntryReport,
  type PlatformInstance,
  type Pool,
} from '@hornbeampond/schema';
import { reduceSingleton } from './reduceSingleton.js';
import type { SingletonEffect, SingletonEventPayload } from './singletonEvents.js';
import { makeSingletonState } from './SingletonState.js';

const WINDOW_MILLISECONDS = 5000;

const pool: Pool = {
  name: 'engines',
  kind: 'modelEngine',
  dataCentres: ['a', 'b'],
  instanceClasses: [{ name: 'on-demand', eurosPerHour: 0, reclaimable: false, concurrency: 64 }],
  least: 2,
  most: 8,
  model: 'm',
  checksFencing: false,
  sizing: {
    least: 1,
    most: 4,
    startMilliseconds: 4000,
    prices: { a: 1, b: 1 },
    reclaimableShare: 0.2,
  },
};

const configuration = {
  ...emptyConfiguration,
  revision: 1,
  pools: { revision: 1, rows: [pool] },
};

function makeReport(counts: Record<string, number>): EntryReport {
  return {
    type: 'entryReport',
    instance: 'entry-1',
    dataCentre: 'a',
    incarnation: 1,
    sequence: 1,
    leaving: false,
    revision: 1,
    inProgress: {},
    leavingBackendServers: {},
    suspects: [],
    begun: { 0: counts },
  };
}

/** A process whose clock the test sets; `feed` returns the effects without the log lines. */
function makeFeed() {
  const state = makeSingletonState({ usageWindow: WINDOW_MILLISECONDS, ordersInstances: true });
  return (at: number, payload: SingletonEventPayload): SingletonEffect[] =>
    reduceSingleton(state, { ...payload, now: at, wallNow: at }).filter(
      ({ type }) => type !== 'log',
    );
}

test('a window is settled in the log once its reports have come, then reported as settled', () => {
  const feed = makeFeed();
  feed(0, { type: 'configurationReceived', configuration });
  feed(0, { type: 'leaseHeld', epoch: 3 });
  feed(4900, { type: 'entryReported', report: makeReport({ laden: 4 }) });
  assert.deepEqual(
    feed(6000, { type: 'tick' }).filter(({ type }) => type === 'reportUsage'),
    [],
  );
  const effects = feed(8300, { type: 'tick' });
  assert.ok(
    effects.some(
      (effect) => effect.type === 'settleUsage' && effect.window === 0 && effect.counts.laden === 4,
    ),
  );
  // Another holder had proposed other counts before: those of the log are reported.
  const reports = feed(8400, { type: 'usageSettled', window: 0, counts: { laden: 5 } });
  assert.deepEqual(reports, [{ type: 'reportUsage', window: 0, counts: { laden: 5 }, epoch: 3 }]);
  feed(8500, { type: 'usageReported', window: 0 });
  assert.equal(
    feed(9600, { type: 'tick' }).some((effect) => 'window' in effect && effect.window === 0),
    false,
  );
});

test('a report that failed is made again with the same counts', () => {
  const feed = makeFeed();
  feed(0, { type: 'configurationReceived', configuration });
  feed(0, { type: 'leaseHeld', epoch: 3 });
  feed(8300, { type: 'usageSettled', window: 0, counts: { laden: 5 } });
  const retries = feed(9400, { type: 'tick' }).filter(({ type }) => type === 'reportUsage');
  assert.deepEqual(retries, [{ type: 'reportUsage', window: 0, counts: { laden: 5 }, epoch: 3 }]);
});

// The platform would hear two holders at once. A process that has lost its lease, or never had it,
// asks for nothing, whatever it hears.
test('nothing is asked for without the lease', () => {
  const feed = makeFeed();
  const instances = [
    {
      instance: 'i-1',
      dataCentre: 'a',
      instanceClass: 'on-demand',
      pool: 'engines',
      state: 'live',
      host: '10.0.0.1',
      port: 1,
    } as const,
  ];
  feed(0, { type: 'configurationReceived', configuration });
  feed(0, { type: 'leaseHeld', epoch: 3 });
  feed(1000, { type: 'instancesListed', instances });
  feed(2000, { type: 'leaseLost' });
  assert.deepEqual(feed(9000, { type: 'instancesListed', instances }), []);
  assert.deepEqual(feed(9000, { type: 'tick' }), []);
  feed(10_000, { type: 'leaseHeld', epoch: 4 });
  const orders = feed(11_000, { type: 'instancesListed', instances });
  assert.ok(orders.every((effect) => effect.type === 'orderSize' && effect.epoch === 4));
  assert.ok(orders.length > 0);
});

test('an order that was refused is given again after a while, one that was taken is not', () => {
  const feed = makeFeed();
  const instances = [0, 1].map((number) => ({
    instance: `i-${number}`,
    dataCentre: 'a',
    instanceClass: 'on-demand',
    pool: 'engines',
    state: 'live' as const,
    host: '10.0.0.1',
    port: number + 1,
  }));
  feed(0, { type: 'configurationReceived', configuration });
  feed(0, { type: 'leaseHeld', epoch: 1 });
  feed(0, { type: 'instancesListed', instances });
  const firstOrders = feed(3000, { type: 'instancesListed', instances });
  firstOrders.forEach((effect) => {
    if (effect.type !== 'orderSize') return;
    const outcome = effect.order.reclaimable ? 'refused' : 'done';
    feed(3010, { type: 'sizeOrdered', order: effect.order, outcome });
  });
  const ordersDuringClosure = feed(4000, { type: 'instancesListed', instances });
  assert.ok(
    ordersDuringClosure.every((effect) => effect.type === 'orderSize' && !effect.order.reclaimable),
  );
  const ordersAfterClosure = feed(7000, { type: 'instancesListed', instances });
  assert.ok(
    ordersAfterClosure.some((effect) => effect.type === 'orderSize' && effect.order.reclaimable),
  );
});

/** A process that holds the lease, and whose orders all succeed; `list` returns the new ones. */
function makeLeaseHolder() {
  const feed = makeFeed();
  feed(0, { type: 'configurationReceived', configuration });
  feed(0, { type: 'leaseHeld', epoch: 1 });
  const list = (at: number, reclaimable: Record<string, number>, onDemand = {}): string[] => {
    const instances = [
      ...makeInstances('reclaimable', reclaimable),
      ...makeInstances('on-demand', onDemand),
    ];
    return feed(at, { type: 'instancesListed', instances }).flatMap((effect) => {
      if (effect.type !== 'orderSize') return [];
      const { order } = effect;
      feed(at, { type: 'sizeOrdered', order, outcome: 'done' });
      return [
        `${order.dataCentre} ${order.reclaimable ? 'reclaimable' : 'onDemand'} ${order.count}`,
      ];
    });
  };
  return { feed, list };
}

function makeInstances(instanceClass: string, counts: Record<string, number>): PlatformInstance[] {
  return Object.entries(counts).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, number) => ({
      instance: `${instanceClass}-${dataCentre}-${number}`,
      dataCentre,
      instanceClass,
      pool: 'engines',
      state: 'live' as const,
      host: '10.0.0.1',
      port: number + 1,
    })),
  );
}

// Callers are late and refused for the rest of a rush. A wave takes the reclaimable engines of a
// data centre; the platform starts no others for an order that it carried out before. So once
// those ordered should have come and have not, the order is given again.
test('what a wave has taken is ordered again', () => {
  const { list } = makeLeaseHolder();
  const firstOrders = list(0, {}, { a: 1, b: 1 });
  list(1000, {}, { a: 1, b: 1 });
  assert.ok(firstOrders.includes('a reclaimable 1') && firstOrders.includes('b reclaimable 1'));
  list(6000, { a: 1, b: 1 });
  assert.deepEqual(list(20_000, { a: 1, b: 1 }), []);
  assert.deepEqual(
    list(21_000, { a: 1 }).filter((order) => order.startsWith('b reclaimable')),
    ['b reclaimable 1'],
  );
  assert.deepEqual(
    list(24_000, { a: 1 }).filter((order) => order.startsWith('b reclaimable')),
    [],
  );
});

// Reclaimable engines take over from on-demand ones before any demand is known. For a moment both
// are there; taken for twice the need, twice as many would be ordered and paid for.
test('both kinds that are there during a change are not added up', () => {
  const { list } = makeLeaseHolder();
  list(0, {}, { a: 2, b: 2 });
  list(1000, {}, { a: 2, b: 2 });
  const orders = list(7000, { a: 2, b: 2 }, { a: 1, b: 1 });
  assert.deepEqual(
    orders.filter((order) => order.includes('reclaimable')),
    [],
  );
});

// The list grows while the engines of a system that starts come up. The cheap ones that are to take
// over are ordered at once; by the first few that are listed, the others would be let go too early,
// and the first callers find too few engines.
test('no on-demand instance is let go by a list that still grows', () => {
  const { list } = makeLeaseHolder();
  const firstOrders = list(0, {}, { a: 1 });
  assert.ok(firstOrders.length > 0 && firstOrders.every((order) => order.includes('reclaimable')));
  assert.ok(list(1000, {}, { a: 2 }).every((order) => order.includes('reclaimable')));
  list(2000, {}, { a: 2, b: 1 });
  assert.ok(list(3000, {}, { a: 2, b: 1 }).some((order) => order.includes('onDemand')));
});

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

/**
 * Returns a function that passes an event at the given time to a new process and returns the
 * effects without log lines.
 */
function makeProcess() {
  const state = makeSingletonState({ usageWindow: WINDOW_MILLISECONDS, ordersInstances: true });
  return (at: number, payload: SingletonEventPayload): SingletonEffect[] =>
    reduceSingleton(state, { ...payload, now: at, wallNow: at }).filter(
      ({ type }) => type !== 'log',
    );
}

test('a window is settled in the replicated log after its last reports, then reported with the settled counts', () => {
  const feed = makeProcess();
  feed(0, { type: 'configurationReceived', configuration });
  feed(0, { type: 'leaseHeld', epoch: 3 });
  feed(4900, { type: 'entryReported', report: makeReport({ workspaceA: 4 }) });
  assert.deepEqual(
    feed(6000, { type: 'tick' }).filter(({ type }) => type === 'reportUsage'),
    [],
  );
  const effects = feed(8300, { type: 'tick' });
  assert.ok(
    effects.some(
      (effect) =>
        effect.type === 'settleUsage' && effect.window === 0 && effect.counts.workspaceA === 4,
    ),
  );
  // Another holder has settled 5 before, so 5 is reported.
  const reports = feed(8400, { type: 'usageSettled', window: 0, counts: { workspaceA: 5 } });
  assert.deepEqual(reports, [
    { type: 'reportUsage', window: 0, counts: { workspaceA: 5 }, epoch: 3 },
  ]);
  feed(8500, { type: 'usageReported', window: 0 });
  assert.equal(
    feed(9600, { type: 'tick' }).some((effect) => 'window' in effect && effect.window === 0),
    false,
  );
});

test('an unanswered usage report is repeated with the same counts', () => {
  const feed = makeProcess();
  feed(0, { type: 'configurationReceived', configuration });
  feed(0, { type: 'leaseHeld', epoch: 3 });
  feed(8300, { type: 'usageSettled', window: 0, counts: { workspaceA: 5 } });
  const retries = feed(9400, { type: 'tick' }).filter(({ type }) => type === 'reportUsage');
  assert.deepEqual(retries, [
    { type: 'reportUsage', window: 0, counts: { workspaceA: 5 }, epoch: 3 },
  ]);
});

// Guards against orders and reports from two holders at the same time.
test('nothing is ordered or reported without the lease', () => {
  const feed = makeProcess();
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

test('a refused order is repeated after a while, an accepted one is not', () => {
  const feed = makeProcess();
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

/**
 * Returns a process that holds the lease and whose orders are all accepted; `list` passes it a list
 * and returns its new orders.
 */
function makeLeaseHolder() {
  const feed = makeProcess();
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

// Guards against a lasting shortage: the platform does not replace instances that a wave has
// taken, so the order must be repeated once their start is overdue.
test('instances lost to a wave are ordered again', () => {
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

// Guards against ordering twice the need: until demand is known, the listed instances stand for
// it, and both kinds are listed while reclaimable instances replace on-demand ones.
test('reclaimable and on-demand instances are not added up while one kind replaces the other', () => {
  const { list } = makeLeaseHolder();
  list(0, {}, { a: 2, b: 2 });
  list(1000, {}, { a: 2, b: 2 });
  const orders = list(7000, { a: 2, b: 2 }, { a: 1, b: 1 });
  assert.deepEqual(
    orders.filter((order) => order.includes('reclaimable')),
    [],
  );
});

// Guards against ending on-demand instances that are not listed yet while a cluster starts.
test('no on-demand instance is ended while the list still grows', () => {
  const { list } = makeLeaseHolder();
  const firstOrders = list(0, {}, { a: 1 });
  assert.ok(firstOrders.length > 0 && firstOrders.every((order) => order.includes('reclaimable')));
  assert.ok(list(1000, {}, { a: 2 }).every((order) => order.includes('reclaimable')));
  list(2000, {}, { a: 2, b: 1 });
  assert.ok(list(3000, {}, { a: 2, b: 1 }).some((order) => order.includes('onDemand')));
});

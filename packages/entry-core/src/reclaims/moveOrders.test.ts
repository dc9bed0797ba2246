/**
 * Orders to move the KV caches of streams that may not be repeated: how often an engine gets one, and
 * what becomes of the stream when the order fails, is answered late, or its target is lost.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeConfiguration, makeOnceOnlyConfiguration } from '../driver/fixtures.js';
import {
  makeRequest,
  SimulatedCluster,
  type CallerRecord,
  type SimulatedMoveOrder,
} from '../driver/index.js';

const SOURCE = 'wien-a-engine-1';
const NOTICE_MILLISECONDS = 4000;

/** Most orders that one run may cost. */
const MAX_ORDERS_OF_RUN = 3;

/** Later than moves of these streams are due, and before their notice ends. */
const LATE_MILLISECONDS = 2000;

const WHOLE_ANSWER_MILLISECONDS = 60_000;

interface Play {
  readonly cluster: SimulatedCluster;
  readonly callers: readonly CallerRecord[];
}

/** Lets the only engine leave that runs streams; the others have come since. */
function startReclaim(
  streamCount: number,
  prepare: (cluster: SimulatedCluster) => void,
  configuration = makeOnceOnlyConfiguration(WHOLE_ANSWER_MILLISECONDS),
): Play {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 }, configuration });
  const callers = Array.from({ length: streamCount }, (_, position) =>
    cluster.entry.submitRequest(
      makeRequest(`request-${position + 1}`, { promptTokens: 2000, maxTokens: 600 }),
    ),
  );
  cluster.advance(3000);
  cluster.addEngine('wien-b-engine-1', 'wien-b');
  cluster.addEngine('wien-b-engine-2', 'wien-b');
  prepare(cluster);
  cluster.reclaim([SOURCE], NOTICE_MILLISECONDS);
  return { cluster, callers };
}

function groupByRequest(orders: readonly SimulatedMoveOrder[]): SimulatedMoveOrder[][] {
  const groups = new Map<string, SimulatedMoveOrder[]>();
  orders.forEach((order) => {
    groups.set(order.requestId, [...(groups.get(order.requestId) ?? []), order]);
  });
  return [...groups.values()];
}

/** Answers orders after so long, and records those sent while another order for the run was out. */
function answerAfter(cluster: SimulatedCluster, after: number, moved: boolean): string[] {
  const doubled: string[] = [];
  Object.assign(cluster, {
    answerMove: (order: SimulatedMoveOrder) => {
      const earlier = cluster.entry.moveOrders.filter(
        ({ requestId }) => requestId === order.requestId,
      );
      if (earlier.some((other) => other !== order && !other.isAnswered)) {
        doubled.push(order.requestId);
      }
      return { after, moved };
    },
  });
  return doubled;
}

function listFinalAnswers(callers: readonly CallerRecord[]): string[] {
  return callers.flatMap(({ finalAnswers }) => finalAnswers.map(({ type }) => type));
}

[1, 50].forEach((after) => {
  // Guards against orders without a rest at an engine that refuses them, for as long as a stream runs.
  test(`an engine that refuses moves after ${after} ms gets few orders for each run`, () => {
    const { cluster } = startReclaim(8, (prepared) => answerAfter(prepared, after, false));
    cluster.advance(NOTICE_MILLISECONDS - 100);
    const firstOrders = cluster.entry.moveOrders.slice(0, 8);
    assert.equal(new Set(firstOrders.map(({ requestId }) => requestId)).size, 8);
    const orders = groupByRequest(cluster.entry.moveOrders);
    assert.equal(orders.length, 8, 'each stream gets its turn');
    orders.forEach((ofRun) => assert.equal(ofRun.length <= MAX_ORDERS_OF_RUN, true));
    cluster.runUntilAnswered();
    assert.deepEqual(cluster.findViolations(), []);
  });
});

// Guards against a rest that does not grow: a run is ordered again only after a longer time.
test('the rests between the orders for one run grow', () => {
  const { cluster } = startReclaim(1, (prepared) => answerAfter(prepared, 10, false));
  cluster.advance(NOTICE_MILLISECONDS - 100);
  const times = cluster.entry.moveOrders.map(({ at }) => at);
  assert.equal(times.length > 1 && times.length <= MAX_ORDERS_OF_RUN, true, `orders at ${times}`);
  const rests = times.slice(1).map((at, position) => at - (times[position] ?? 0));
  rests.forEach((rest, position) => {
    assert.equal(rest >= 200, true, `rests of ${rests}`);
    assert.equal(rest > (rests[position - 1] ?? 0), true, `rests of ${rests}`);
  });
});

// Guards against streams that wait because the order for another stream of their engine has failed.
test('the stream after one whose order has failed is moved without a rest', () => {
  const { cluster } = startReclaim(2, (prepared) => {
    Object.assign(prepared, {
      answerMove: () => ({ after: 20, moved: prepared.entry.moveOrders.length > 1 }),
    });
  });
  cluster.advance(100);
  const [first, second] = cluster.entry.moveOrders;
  assert.ok(first !== undefined && second !== undefined);
  assert.notEqual(second.requestId, first.requestId);
  assert.equal(second.at - first.at <= 50, true, `${second.at - first.at} ms`);
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(cluster.entry.count('cacheMoves/moved'), 2);
});

// Guards against two orders for a run at a time, and against a handle that is taken to another engine
// than the one that holds the cache.
test('a stream whose order is answered late continues from the cache of that order', () => {
  let doubled: string[] = [];
  const { cluster, callers } = startReclaim(1, (prepared) => {
    Object.assign(prepared, { movesStopRuns: true });
    doubled = answerAfter(prepared, LATE_MILLISECONDS, true);
  });
  cluster.runUntilAnswered();
  assert.deepEqual(doubled, []);
  assert.deepEqual(cluster.entry.resumedWithoutCache, []);
  assert.deepEqual(cluster.findViolations(), []);
  assert.deepEqual(listFinalAnswers(callers), ['whole']);
});

// Guards against streams that wait while the order for another stream of their engine is not answered.
test('an order that is not answered in time does not hold up other streams', () => {
  const { cluster, callers } = startReclaim(2, (prepared) => {
    Object.assign(prepared, {
      movesStopRuns: true,
      answerMove: () => ({ after: prepared.entry.moveOrders.length > 1 ? 20 : 3500, moved: true }),
    });
  });
  cluster.advance(1500);
  assert.equal(cluster.entry.moveOrders.length, 2);
  assert.equal(cluster.entry.count('cacheMoves/moved'), 1);
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.entry.resumedWithoutCache, []);
  assert.deepEqual(listFinalAnswers(callers), ['whole', 'whole']);
});

// Guards against a second order for a stream that may be repeated; it is resumed elsewhere in time.
test('a stream that may be repeated is not ordered again while its order is out', () => {
  let doubled: string[] = [];
  const { cluster, callers } = startReclaim(
    1,
    (prepared) => {
      doubled = answerAfter(prepared, LATE_MILLISECONDS, true);
    },
    makeConfiguration(WHOLE_ANSWER_MILLISECONDS),
  );
  cluster.runUntilAnswered();
  assert.deepEqual(doubled, []);
  assert.deepEqual(cluster.findViolations(), []);
  assert.deepEqual(listFinalAnswers(callers), ['whole']);
});

['inTime', 'late'].forEach((when) => {
  // Guards against a caller that waits for its deadline, because the engine that holds the cache of its
  // stopped run is gone.
  test(`a stopped stream whose target is lost breaks off at once (${when})`, () => {
    const after = when === 'late' ? LATE_MILLISECONDS : 300;
    const { cluster, callers } = startReclaim(1, (prepared) => {
      Object.assign(prepared, { movesStopRuns: true });
      answerAfter(prepared, after, true);
    });
    const { now } = cluster.clock();
    cluster.advance(100);
    cluster.engine(cluster.entry.moveOrders[0]?.to ?? '').die();
    cluster.publishAliveEngines();
    cluster.runUntilAnswered();
    const [answer] = callers.flatMap(({ finalAnswers }) => finalAnswers);
    assert.ok(answer?.type === 'problem');
    assert.equal(answer.ran, 'unknown');
    assert.equal(answer.at - now <= after + 100, true, `after ${answer.at - now} ms`);
    assert.equal(cluster.entry.moveOrders.length, 1);
    assert.deepEqual(cluster.entry.resumedWithoutCache, []);
    assert.equal(cluster.entry.state.reclaims.moves.size, 0);
  });
});

[true, false].forEach((moved) => {
  // Guards against a caller that waits for its stream to time out, although the answer to the order says
  // that its run has stopped.
  test(`a stopped stream without a cache breaks off before its end arrives (moved: ${moved})`, () => {
    const { cluster, callers } = startReclaim(1, (prepared) => {
      Object.assign(prepared, {
        movesStopRuns: true,
        answerMove: () => ({ after: 300, moved, runStopped: true }),
      });
    });
    const { now } = cluster.clock();
    cluster.advance(100);
    cluster.engine(cluster.entry.moveOrders[0]?.to ?? '').die();
    cluster.publishAliveEngines();
    cluster.runUntilAnswered();
    const [answer] = callers.flatMap(({ finalAnswers }) => finalAnswers);
    assert.ok(answer?.type === 'problem');
    assert.equal(answer.at - now <= 400, true, `after ${answer.at - now} ms`);
    assert.equal(cluster.entry.state.quarantine.suspects.size, 0);
  });
});

// Guards against a stream that may be repeated and is lost with its stopped run, as no engine is left.
test('a stopped stream that may be repeated waits for an engine', () => {
  const { cluster, callers } = startReclaim(
    1,
    (prepared) => {
      Object.assign(prepared, {
        movesStopRuns: true,
        answerMove: () => ({ after: 300, moved: false, runStopped: true }),
      });
    },
    makeConfiguration(WHOLE_ANSWER_MILLISECONDS),
  );
  cluster.advance(100);
  ['wien-b-engine-1', 'wien-b-engine-2'].forEach((name) => cluster.engine(name).die());
  cluster.publishAliveEngines();
  cluster.advance(1000);
  cluster.addEngine('wien-b-engine-3', 'wien-b');
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.deepEqual(listFinalAnswers(callers), ['whole']);
});

// Guards against an answer that ends another move than the one whose order it answers.
test('the answer to an earlier move is ignored', () => {
  const { cluster } = startReclaim(1, (prepared) => answerAfter(prepared, 300, true));
  cluster.advance(50);
  const [order] = cluster.entry.moveOrders;
  assert.ok(order !== undefined);
  const { requestId, moveNumber } = order;
  const attemptId = `${requestId}.1`;
  const answer = { type: 'cacheMoved', requestId, attemptId, moved: true } as const;
  cluster.entry.send({ ...answer, moveNumber: moveNumber - 1 });
  assert.equal(cluster.entry.count('cacheMoves/moved'), 0);
  cluster.entry.send({ ...answer, moveNumber });
  assert.equal(cluster.entry.count('cacheMoves/moved'), 1);
});

// Guards against orders and refusals that operators cannot see.
test('orders and refusals to order again are counted by reason', () => {
  const { cluster } = startReclaim(8, (prepared) => answerAfter(prepared, 1, false));
  cluster.advance(NOTICE_MILLISECONDS - 100);
  const { entry } = cluster;
  assert.equal(entry.count('cacheMoveOrders/first'), 8);
  const again = entry.moveOrders.length - 8;
  assert.equal(entry.count('cacheMoveOrders/afterFailure'), again);
  const rests = entry.count('cacheMovesRefused/streamResting');
  const usedUp = entry.count('cacheMovesRefused/ordersUsedUp');
  assert.equal(rests + usedUp, entry.moveOrders.length);
  assert.notEqual(entry.count('cacheMovesRefused/sourceResting'), 0);
});

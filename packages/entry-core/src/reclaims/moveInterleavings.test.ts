/** Random reclaims of streams that may not be repeated, with random answers to the orders to move caches. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { makeOnceOnlyConfiguration } from '../driver/fixtures.js';
import {
  makeRequest,
  SimulatedCluster,
  type SimulatedMoveAnswer,
  type SimulatedMoveOrder,
} from '../driver/index.js';

const engineNames = ['wien-a-engine-1', 'wien-a-engine-2', 'wien-b-engine-1', 'wien-b-engine-2'];

/** Streams that an engine runs at a time wait for each other's moves. */
const STREAMS_OF_SUBMIT = 3;

const actionLists = fc.array(
  fc.record({
    kind: fc.constantFrom('submit', 'submit', 'submit', 'reclaim', 'reclaim', 'die', 'replace'),
    engine: fc.constantFrom(...engineNames),
    maxTokens: fc.integer({ min: 1, max: 600 }),
    notice: fc.integer({ min: 500, max: 10_000 }),
    delaySteps: fc.integer({ min: 0, max: 100 }),
  }),
  { minLength: 5, maxLength: 30 },
);

type Action = typeof actionLists extends fc.Arbitrary<readonly (infer One)[]> ? One : never;

const answerLists = fc.array(
  fc.record({
    after: fc.oneof(fc.integer({ min: 1, max: 200 }), fc.integer({ min: 200, max: 3000 })),
    moved: fc.boolean(),
    runStopped: fc.boolean(),
  }),
  { minLength: 1, maxLength: 10 },
);

function applyAction(cluster: SimulatedCluster, action: Action, actionIndex: number): void {
  const { kind, engine, maxTokens, notice } = action;
  switch (kind) {
    case 'submit':
      for (let number = 1; number <= STREAMS_OF_SUBMIT; number += 1) {
        cluster.entry.submitRequest(
          makeRequest(`request-${actionIndex}-${number}`, {
            maxTokens,
            promptTokens: maxTokens * 4,
          }),
        );
      }
      return;
    case 'reclaim':
      cluster.reclaim([engine], notice);
      return;
    case 'die':
      cluster.engine(engine).die();
      return;
    case 'replace':
      cluster.addEngine(`wien-a-replacement-${actionIndex}`, 'wien-a');
      return;
    default:
      throw new Error(`unknown action ${kind}`);
  }
}

/** Answers orders in turn, and records the runs that had a second order while another was out. */
function recordDoubledOrders(
  cluster: SimulatedCluster,
  answers: readonly SimulatedMoveAnswer[],
): string[] {
  const doubled: string[] = [];
  const { moveOrders } = cluster.entry;
  const answerMove = (order: SimulatedMoveOrder) => {
    const { attemptId } = order;
    const isOut = (other: SimulatedMoveOrder) =>
      other !== order && other.attemptId === attemptId && !other.isAnswered;
    if (moveOrders.some(isOut)) doubled.push(attemptId);
    return answers[moveOrders.length % answers.length] ?? { after: 1, moved: false };
  };
  Object.assign(cluster, { answerMove });
  return doubled;
}

function countMostOrdersOfRun({ entry }: SimulatedCluster): number {
  const counts = new Map<string, number>();
  entry.moveOrders.forEach(({ attemptId }) =>
    counts.set(attemptId, (counts.get(attemptId) ?? 0) + 1),
  );
  return Math.max(0, ...counts.values());
}

function assertNothingRemains({ entry: { state } }: SimulatedCluster): void {
  assert.equal(state.requests.size, 0);
  assert.equal(state.attempts.size, 0);
  assert.equal(state.reclaims.moves.size, 0);
  state.backendServers.forEach((server) => assert.deepEqual([...server.attemptIds], []));
}

[true, false].forEach((movesStopRuns) => {
  // Guards against a second run of a call that may not be repeated, and against two orders for one run
  // at a time, where orders are answered late or fail.
  test(`random answers to move orders never let a call run twice (stop runs: ${movesStopRuns})`, () => {
    const totals = { orders: 0, moved: 0, overdue: 0 };
    fc.assert(
      fc.property(actionLists, answerLists, (actions, answers) => {
        const cluster = new SimulatedCluster({
          engines: { 'wien-a': 2, 'wien-b': 2 },
          configuration: makeOnceOnlyConfiguration(30_000),
        });
        cluster.movesStopRuns = movesStopRuns;
        const doubled = recordDoubledOrders(
          cluster,
          answers.map(({ runStopped, ...answer }) => ({
            ...answer,
            runStopped: runStopped && movesStopRuns,
          })),
        );
        actions.forEach((action, actionIndex) => {
          applyAction(cluster, action, actionIndex);
          cluster.advance(action.delaySteps * 10);
        });
        cluster.runUntilAnswered(40_000);
        assert.deepEqual(cluster.findViolations(), []);
        assert.deepEqual(doubled, []);
        assert.deepEqual(cluster.entry.resumedWithoutCache, []);
        assert.equal(countMostOrdersOfRun(cluster) <= 3, true);
        assertNothingRemains(cluster);
        totals.orders += cluster.entry.moveOrders.length;
        totals.moved += cluster.entry.count('cacheMoves/moved');
        totals.overdue += cluster.entry.count('cacheMovesRefused/orderUnanswered');
      }),
      { seed: 20_261_206, numRuns: 200 },
    );
    assert.equal(totals.moved > 50 && totals.overdue > 50, true, JSON.stringify(totals));
  });
});

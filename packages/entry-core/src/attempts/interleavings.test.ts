import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const engineNames = ['wien-a-engine-1', 'wien-a-engine-2', 'wien-b-engine-1', 'wien-b-engine-2'];

/**
 * Generates lists of faults and requests, each with the delay before the next one. `magnitude` is
 * the `maxTokens` of a request, or the notice of a reclaim in units of 20 ms.
 */
const actionLists = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...(['submit', 'submit', 'submit', 'die', 'loseHost', 'revive', 'stall', 'reclaim'] as const),
      ...(['busy', 'free', 'disconnect', 'unknownEvents', 'failMoves', 'submitCrashing'] as const),
    ),
    engine: fc.constantFrom(...engineNames),
    magnitude: fc.integer({ min: 1, max: 120 }),
    delaySteps: fc.integer({ min: 0, max: 60 }),
  }),
  { minLength: 5, maxLength: 40 },
);

type Action = typeof actionLists extends fc.Arbitrary<readonly (infer One)[]> ? One : never;

/**
 * Sends stream events for attempts that have ended or never started; the entry must ignore them.
 */
function sendEventsOfUnknownAttempts(cluster: SimulatedCluster): void {
  cluster.callers().forEach(({ request: { requestId } }) => {
    ['1', '2', '3'].forEach((attemptNumber) => {
      const attemptId = `${requestId}.${attemptNumber}`;
      if (cluster.entry.state.attempts.has(attemptId)) return;
      cluster.entry.send({ type: 'firstTokenReceived', attemptId });
      cluster.entry.send({ type: 'attemptFinished', attemptId, tokens: 7 });
    });
  });
}

function applyAction(
  cluster: SimulatedCluster,
  { kind, engine: name, magnitude }: Action,
  actionIndex: number,
): void {
  const engine = cluster.engine(name);
  const digest = kind === 'submitCrashing' ? 'digest-crashing' : `digest-${actionIndex}`;
  switch (kind) {
    case 'submit':
    case 'submitCrashing':
      cluster.entry.submitRequest(
        makeRequest(`request-${actionIndex}`, { maxTokens: magnitude, digest }),
      );
      return;
    case 'die':
      engine.die();
      return;
    case 'loseHost':
      engine.omitsReset = true;
      engine.unreachableWhenDead = true;
      engine.die();
      return;
    case 'revive':
      engine.omitsReset = false;
      engine.unreachableWhenDead = false;
      engine.alive = true;
      return;
    case 'stall':
      engine.streams.forEach((stream) => {
        stream.stalled = true;
      });
      return;
    case 'reclaim':
      cluster.reclaim([name], magnitude * 20);
      return;
    case 'busy':
    case 'free':
      engine.busy = kind === 'busy';
      return;
    case 'failMoves':
      cluster.movesFail = !cluster.movesFail;
      return;
    case 'unknownEvents':
      sendEventsOfUnknownAttempts(cluster);
      return;
    default:
      cluster.disconnectCaller(0);
  }
}

function runActions(actions: readonly Action[]): SimulatedCluster {
  const crashTokenByDigest = new Map([['digest-crashing', 3]]);
  const engines = { 'wien-a': 2, 'wien-b': 2 };
  const cluster = new SimulatedCluster({
    engines,
    crashTokenByDigest,
    wholeAnswerMilliseconds: 8000,
  });
  actions.forEach((action, actionIndex) => {
    applyAction(cluster, action, actionIndex);
    cluster.advance(action.delaySteps * 10);
  });
  cluster.runUntilAnswered(10_000);
  return cluster;
}

// Each caller must get exactly one final answer, with only its own tokens, and `ran: no` only if no
// engine received its request. No state may remain, since a leak would block the entry's shutdown.
test('random interleavings of failures never break the guarantees given to callers', () => {
  fc.assert(
    fc.property(actionLists, (actions) => {
      const cluster = runActions(actions);
      assert.deepEqual(cluster.findViolations(), []);
      assert.equal(cluster.entry.state.requests.size, 0);
      assert.equal(cluster.entry.state.attempts.size, 0);
      assert.equal(cluster.entry.state.retries.waiting.size, 0);
      assert.equal(cluster.entry.state.reclaims.moves.size, 0);
      cluster.entry.state.backendServers.forEach((server) => {
        assert.deepEqual([...server.attemptIds], []);
      });
    }),
    { seed: 20_260_115, numRuns: 300 },
  );
});

// Guards against a `findViolations` that never reports anything.
test('findViolations reports an answer that was finished before its last token', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  cluster.entry.submitRequest(makeRequest('one'));
  cluster.advance(1000);
  cluster.entry.send({ type: 'attemptFinished', attemptId: 'one.1', tokens: 20 });
  assert.equal(cluster.findViolations().length > 0, true);
});

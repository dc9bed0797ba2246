import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const engineNames = ['wien-a-engine-1', 'wien-a-engine-2', 'wien-b-engine-1', 'wien-b-engine-2'];

/** One thing that goes wrong, or one request, and how long after it the next one comes. */
const actions = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...(['arrive', 'arrive', 'arrive', 'die', 'vanish', 'revive', 'silence', 'reclaim'] as const),
      ...(['busy', 'free', 'gone', 'duplicate', 'failMoves', 'bad'] as const),
    ),
    engine: fc.constantFrom(...engineNames),
    tokens: fc.integer({ min: 1, max: 120 }),
    span: fc.integer({ min: 0, max: 60 }),
  }),
  { minLength: 5, maxLength: 40 },
);

type Action = typeof actions extends fc.Arbitrary<readonly (infer One)[]> ? One : never;

/** Sends edges of attempts again that have ended long ago, as a confused network would. */
function duplicateEdges(world: SimulatedCluster): void {
  world.callers().forEach(({ request: { requestId } }) => {
    ['1', '2', '3'].forEach((number) => {
      const attemptId = `${requestId}.${number}`;
      if (world.entry.state.attempts.has(attemptId)) return;
      world.entry.send({ type: 'firstTokenReceived', attemptId });
      world.entry.send({ type: 'attemptFinished', attemptId, tokens: 7 });
    });
  });
}

function takeAction(
  world: SimulatedCluster,
  { kind, engine: name, tokens }: Action,
  number: number,
): void {
  const engine = world.engine(name);
  const digest = kind === 'bad' ? 'digest-bad' : `digest-${number}`;
  switch (kind) {
    case 'arrive':
    case 'bad':
      world.entry.submitRequest(makeRequest(`request-${number}`, { maxTokens: tokens, digest }));
      return;
    case 'die':
      engine.die();
      return;
    case 'vanish':
      engine.omitsReset = true;
      engine.unreachable = true;
      engine.die();
      return;
    case 'revive':
      engine.omitsReset = false;
      engine.unreachable = false;
      engine.alive = true;
      return;
    case 'silence':
      engine.streams.forEach((stream) => {
        stream.stalled = true;
      });
      return;
    case 'reclaim':
      world.reclaim([name], tokens * 20);
      return;
    case 'busy':
    case 'free':
      engine.busy = kind === 'busy';
      return;
    case 'failMoves':
      world.movesFail = !world.movesFail;
      return;
    case 'duplicate':
      duplicateEdges(world);
      return;
    default:
      world.disconnectCaller(0);
  }
}

function play(steps: readonly Action[]): SimulatedCluster {
  const poison = new Map([['digest-bad', 3]]);
  const engines = { 'wien-a': 2, 'wien-b': 2 };
  const world = new SimulatedCluster({
    engines,
    crashTokenByDigest: poison,
    wholeAnswerMilliseconds: 8000,
  });
  steps.forEach((action, number) => {
    takeAction(world, action, number);
    world.advance(action.span * 10);
  });
  world.runUntilAnswered(10_000);
  return world;
}

// Whatever goes wrong and in whatever order, each caller sees exactly one final answer, never a
// mixed one, never another's, and `ran: no` only if no engine was given its request. At the
// end the entry holds nothing: a leak would hold the stop of the entry back for ever.
test('random interleavings of failures keep what callers are promised', () => {
  fc.assert(
    fc.property(actions, (steps) => {
      const world = play(steps);
      assert.deepEqual(world.findViolations(), []);
      assert.equal(world.entry.state.requests.size, 0);
      assert.equal(world.entry.state.attempts.size, 0);
      assert.equal(world.entry.state.retries.waiting.size, 0);
      assert.equal(world.entry.state.reclaims.moves.size, 0);
      world.entry.state.backendServers.forEach((server) => {
        assert.deepEqual([...server.attemptIds], []);
      });
    }),
    { seed: 20_260_115, numRuns: 300 },
  );
});

// Shows that the check above can fail: a reducer that takes the edges of an attempt for those of
// another, as if answers were not bound to attempts, gives callers wrong answers.
test('a shell that confuses attempts is found out', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  world.entry.submitRequest(makeRequest('one'));
  world.advance(1000);
  world.entry.send({ type: 'attemptFinished', attemptId: 'one.1', tokens: 20 });
  assert.equal(world.findViolations().length > 0, true);
});

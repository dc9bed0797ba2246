/** The order and expiry of interrupted streams in the queue, compared with new requests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';
import { nextTokenDueAt } from '../backendServers/chooseBackendServer.js';
import type { RequestState } from '../requests/RequestState.js';
import { missesDeadlineAfter } from './failUnreachableDeadlines.js';
import { FairQueue } from './FairQueue.js';
import { makeQueuedRequest } from './predictWait.js';

const FIRST_TOKEN_MILLISECONDS = 5000;
const WHOLE_ANSWER_MILLISECONDS = 25_000;

function makeWorld(): SimulatedCluster {
  return new SimulatedCluster({ engines: { 'wien-a': 1 } });
}

function makeAccepted(
  world: SimulatedCluster,
  name: string,
  fields: Partial<RequestState>,
): RequestState {
  const { configuration } = world.entry.state;
  const [route] = configuration.routes.rows;
  const [pool] = configuration.pools.rows;
  assert.ok(route !== undefined && pool !== undefined);
  return {
    request: makeRequest(name, {}),
    route,
    pool,
    arrivedAt: 0,
    firstTokenDueAt: FIRST_TOKEN_MILLISECONDS,
    wholeAnswerDueAt: WHOLE_ANSWER_MILLISECONDS,
    lateFirstTokenDueAt: FIRST_TOKEN_MILLISECONDS,
    maxPause: 500,
    attemptId: undefined,
    attemptsStarted: 0,
    triedInstances: new Set(),
    tokens: 0,
    firstTokenAt: undefined,
    ...fields,
  };
}

const interrupted: Partial<RequestState> = {
  attemptsStarted: 1,
  tokens: 40,
  firstTokenAt: 800,
  interruptedAt: 3000,
};

// Ordered by the deadline of its whole answer, a stream would wait behind all new requests, and its
// caller would see a long pause.
test('an interrupted stream is served before new requests', () => {
  const world = makeWorld();
  const { state } = world.entry;
  const queue = new FairQueue();
  queue.add(makeQueuedRequest(state, makeAccepted(world, 'new', {})));
  queue.add(makeQueuedRequest(state, makeAccepted(world, 'stream', interrupted)));
  assert.equal(queue.peek()?.requestState.request.requestId, 'stream');
});

// The answer of a stream whose pause exceeds the limit is late but still useful to its caller.
test('a stream with too long a pause is not ended before the deadline of its whole answer', () => {
  const world = makeWorld();
  const { state } = world.entry;
  const stream = makeAccepted(world, 'stream', interrupted);
  assert.equal(nextTokenDueAt(stream), 3500);
  assert.equal(missesDeadlineAfter(state, makeQueuedRequest(state, stream), 0, 6000), false);
  assert.equal(
    missesDeadlineAfter(state, makeQueuedRequest(state, stream), 0, WHOLE_ANSWER_MILLISECONDS + 1),
    true,
  );
  const fresh = makeAccepted(world, 'new', {});
  assert.equal(missesDeadlineAfter(state, makeQueuedRequest(state, fresh), 0, 6000), true);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

function makeCluster(): SimulatedCluster {
  return new SimulatedCluster({ engines: { 'wien-a': 2, 'wien-b': 2 }, pool: 'bookings' });
}

function makeCall(path: string, maxTokens: number) {
  return makeRequest('one', {
    path,
    promptTokens: 0,
    maxTokens,
    idempotencyKey: 'seat-12',
  });
}

function countReceived(cluster: SimulatedCluster): number {
  return [...cluster.engines.values()].reduce(
    (total, engine) => total + (engine.received.get('one') ?? 0),
    0,
  );
}

function killRunningServer(cluster: SimulatedCluster): void {
  const [attempt] = cluster.entry.state.attempts.values();
  assert.ok(attempt !== undefined);
  cluster.engine(attempt.instance).die();
}

// The call was in transit when the backend server crashed, so it may have run. Sending it again
// could book the seat twice.
test('a non-idempotent call is never sent twice', () => {
  const cluster = makeCluster();
  const caller = cluster.entry.submitRequest(makeCall('/reservations', 50));
  // Time for the claim to be granted and the call to be sent.
  cluster.advance(15);
  killRunningServer(cluster);
  cluster.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.ran, 'unknown');
  assert.equal(countReceived(cluster), 1);
  assert.equal(cluster.entry.count('retriesRefused/notIdempotent'), 1);
  assert.deepEqual(cluster.findViolations(), []);
});

// Migrating the call would send it a second time.
test('a non-idempotent call is not migrated on a reclaim notice', () => {
  const cluster = makeCluster();
  const caller = cluster.entry.submitRequest(makeCall('/reservations', 50));
  cluster.advance(300);
  const [attempt] = cluster.entry.state.attempts.values();
  assert.ok(attempt !== undefined);
  cluster.reclaim([attempt.instance], 2000);
  cluster.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.equal(countReceived(cluster), 1);
});

// A second answer need not begin with the same bytes, so it cannot complete the first. The caller
// must get an error instead of an answer that looks complete.
test('an answer of a plain service that has begun is not retried', () => {
  const cluster = makeCluster();
  const caller = cluster.entry.submitRequest(makeCall('/lookups', 50));
  cluster.advance(500);
  killRunningServer(cluster);
  cluster.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.kind, 'answerCut');
  assert.equal(cluster.entry.count('retriesRefused/answerStarted'), 1);
  assert.deepEqual(cluster.findViolations(), []);
});

test('an idempotent call without any answer yet is retried on another backend server', () => {
  const cluster = makeCluster();
  const caller = cluster.entry.submitRequest(makeCall('/lookups', 50));
  cluster.advance(10);
  killRunningServer(cluster);
  cluster.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.deepEqual(cluster.findViolations(), []);
});

// The host becomes unreachable: one connection is reset, the other is ended by the unanswered
// probe.
test('an answer of a plain service that is ended by an unanswered probe is not retried', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 }, pool: 'bookings' });
  const callers = ['one', 'two'].map((name) =>
    cluster.entry.submitRequest(makeRequest(name, { path: '/lookups', promptTokens: 0 })),
  );
  cluster.advance(500);
  const engine = cluster.engine('wien-a-engine-1');
  engine.unreachableWhenDead = true;
  [...engine.streams.values()].forEach((stream, position) => {
    stream.stalled = position > 0;
  });
  engine.die();
  cluster.advance(1500);
  assert.deepEqual(
    callers.map(({ finalAnswers: [final] }) => final?.type === 'problem' && final.kind),
    ['answerCut', 'answerCut'],
  );
  assert.deepEqual(cluster.findViolations(), []);
});

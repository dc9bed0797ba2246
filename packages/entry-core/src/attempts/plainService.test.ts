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

// The caller is told that the outcome is not known. Its reservation was on the wire when the backend
// server died; whether the seat is booked nobody can tell, and a second send could book it twice.
test('a call that may not be repeated is never sent twice', () => {
  const cluster = makeCluster();
  const caller = cluster.entry.submitRequest(makeCall('/reservations', 50));
  // The claim is granted first, then the call is sent.
  cluster.advance(15);
  killRunningServer(cluster);
  cluster.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.ran, 'unknown');
  assert.equal(countReceived(cluster), 1);
  assert.equal(cluster.entry.count('retriesRefused/notIdempotent'), 1);
  assert.deepEqual(cluster.findViolations(), []);
});

// The caller of a reservation on a backend server with notice sees its whole answer from there. It is
// neither moved nor sent again: whatever the notice, a second send could book twice.
test('a notice does not disturb a call that may not be repeated', () => {
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

// The caller sees its answer end with an error, not as if it were whole. Part of a plain service's
// answer has reached it; a second answer need not begin with the same bytes, so none is spliced on.
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

// The caller sees the whole answer of a second backend server: the first died before it gave a byte, and
// a lookup may be repeated.
test('a lookup that has given nothing is tried elsewhere', () => {
  const cluster = makeCluster();
  const caller = cluster.entry.submitRequest(makeCall('/lookups', 50));
  cluster.advance(10);
  killRunningServer(cluster);
  cluster.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.deepEqual(cluster.findViolations(), []);
});

// Both callers see their answers end with an error. Their backend server vanished; only one connection was
// reset, and the probe's silence ends the other. Its answer had begun too, so it is not begun again.
test('an answer of a plain service that was ended by the probe is not retried', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 }, pool: 'bookings' });
  const callers = ['one', 'two'].map((name) =>
    cluster.entry.submitRequest(makeRequest(name, { path: '/lookups', promptTokens: 0 })),
  );
  cluster.advance(500);
  const engine = cluster.engine('wien-a-engine-1');
  engine.unreachable = true;
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

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

function makeWorld(): SimulatedCluster {
  return new SimulatedCluster({ engines: { 'wien-a': 2, 'wien-b': 2 }, pool: 'bookings' });
}

function makeCall(path: string, mostTokens: number) {
  return makeRequest('one', {
    path,
    promptTokens: 0,
    maxTokens: mostTokens,
    idempotencyKey: 'seat-12',
  });
}

function timesReceived(world: SimulatedCluster): number {
  return [...world.engines.values()].reduce(
    (total, engine) => total + (engine.received.get('one') ?? 0),
    0,
  );
}

function loseHost(world: SimulatedCluster): void {
  const [attempt] = world.entry.state.attempts.values();
  assert.ok(attempt !== undefined);
  world.engine(attempt.instance).die();
}

// The caller is told that the outcome is not known. Its reservation was on the wire when the backend
// server died; whether the seat is booked nobody can tell, and a second send could book it twice.
test('a call that may not be repeated is never sent twice', () => {
  const world = makeWorld();
  const caller = world.entry.submitRequest(makeCall('/reservations', 50));
  // The claim is granted first, then the call is sent.
  world.advance(15);
  loseHost(world);
  world.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.ran, 'unknown');
  assert.equal(timesReceived(world), 1);
  assert.equal(world.entry.count('retriesRefused/notIdempotent'), 1);
  assert.deepEqual(world.findViolations(), []);
});

// The caller of a reservation on a backend server with notice sees its whole answer from there. It is
// neither moved nor sent again: whatever the notice, a second send could book twice.
test('a notice does not disturb a call that may not be repeated', () => {
  const world = makeWorld();
  const caller = world.entry.submitRequest(makeCall('/reservations', 50));
  world.advance(300);
  const [attempt] = world.entry.state.attempts.values();
  assert.ok(attempt !== undefined);
  world.reclaim([attempt.instance], 2000);
  world.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.equal(timesReceived(world), 1);
});

// The caller sees its answer end with an error, not as if it were whole. Part of a plain service's
// answer has reached it; a second answer need not begin with the same bytes, so none is spliced on.
test('an answer of a plain service that has begun is not retried', () => {
  const world = makeWorld();
  const caller = world.entry.submitRequest(makeCall('/lookups', 50));
  world.advance(500);
  loseHost(world);
  world.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.kind, 'answerCut');
  assert.equal(world.entry.count('retriesRefused/answerStarted'), 1);
  assert.deepEqual(world.findViolations(), []);
});

// The caller sees the whole answer of a second backend server: the first died before it gave a byte, and
// a lookup may be repeated.
test('a lookup that has given nothing is tried elsewhere', () => {
  const world = makeWorld();
  const caller = world.entry.submitRequest(makeCall('/lookups', 50));
  world.advance(10);
  loseHost(world);
  world.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.deepEqual(world.findViolations(), []);
});

// Both callers see their answers end with an error. Their backend server vanished; only one connection was
// reset, and the probe's silence ends the other. Its answer had begun too, so it is not begun again.
test('an answer of a plain service that was ended by the probe is not retried', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 1 }, pool: 'bookings' });
  const callers = ['one', 'two'].map((name) =>
    world.entry.submitRequest(makeRequest(name, { path: '/lookups', promptTokens: 0 })),
  );
  world.advance(500);
  const engine = world.engine('wien-a-engine-1');
  engine.unreachable = true;
  [...engine.streams.values()].forEach((stream, position) => {
    stream.stalled = position > 0;
  });
  engine.die();
  world.advance(1500);
  assert.deepEqual(
    callers.map(({ finalAnswers: [final] }) => final?.type === 'problem' && final.kind),
    ['answerCut', 'answerCut'],
  );
  assert.deepEqual(world.findViolations(), []);
});

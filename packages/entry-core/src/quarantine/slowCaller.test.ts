import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

/** True if a backend server is being probed or considered crashed. */
function isProbedOrDown(cluster: SimulatedCluster): boolean {
  const { unresolvedLosses, down } = cluster.entry.state.quarantine;
  return unresolvedLosses.size + down.size > 0;
}

/**
 * Starts a stream at one of two engines. The returned `stall` stops the delivery of tokens by that
 * engine and leaves every probe in the cluster unanswered.
 */
function startStream() {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  cluster.entry.submitRequest(makeRequest('slow', { maxTokens: 5000 }));
  cluster.advance(300);
  const [attempt] = cluster.entry.state.attempts.values();
  assert.ok(attempt !== undefined);
  const { attemptId, instance } = attempt;
  const stall = () => {
    cluster.probesAnswered = false;
    cluster.engine(instance).streams.forEach((stream) => {
      stream.stalled = true;
    });
  };
  return { cluster, attemptId, stall };
}

// Guards against probing an engine only because a slow caller pauses a stream: no tokens are
// expected while it is paused.
test('a stream paused by its caller does not cause a probe', () => {
  const { cluster, attemptId, stall } = startStream();
  cluster.entry.send({ type: 'attemptHeld', attemptId, held: true });
  stall();
  cluster.advance(3000);
  assert.equal(isProbedOrDown(cluster), false);
  // The caller has caught up; tokens are expected from the engine again.
  cluster.entry.send({ type: 'attemptHeld', attemptId, held: false });
  cluster.advance(1000);
  assert.equal(isProbedOrDown(cluster), false);
  cluster.advance(700);
  assert.equal(isProbedOrDown(cluster), true);
});

// Guards against failing a paused stream when a probe that was sent before the pause times out.
test('an unanswered probe does not end a stream that its caller paused', () => {
  const { cluster, attemptId, stall } = startStream();
  stall();
  cluster.advance(1700);
  assert.equal(isProbedOrDown(cluster), true);
  cluster.entry.send({ type: 'attemptHeld', attemptId, held: true });
  cluster.advance(1500);
  assert.equal(isProbedOrDown(cluster), false);
  assert.ok(cluster.entry.state.attempts.has(attemptId));
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

/** True if the engine was put in doubt, or given up already. */
function isProbedOrDown(cluster: SimulatedCluster): boolean {
  const { unresolvedLosses, down } = cluster.entry.state.quarantine;
  return unresolvedLosses.size + down.size > 0;
}

/** A stream that runs at one of two engines; `stall` has that engine give nothing more, nor answer. */
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

// A caller reads more slowly than its engine gives; the entry stops reading, and no token comes for
// seconds. The engine is not to blame. It was probed all the same, and where the instance was too
// busy for the answer to come within a second, all streams of that engine were run again elsewhere.
test('a stream that its caller holds up does not put its engine in doubt', () => {
  const { cluster, attemptId, stall } = startStream();
  cluster.entry.send({ type: 'attemptHeld', attemptId, held: true });
  stall();
  cluster.advance(3000);
  assert.equal(isProbedOrDown(cluster), false);
  // It has caught up: from here on the engine is to give again.
  cluster.entry.send({ type: 'attemptHeld', attemptId, held: false });
  cluster.advance(1000);
  assert.equal(isProbedOrDown(cluster), false);
  cluster.advance(700);
  assert.equal(isProbedOrDown(cluster), true);
});

// The engine falls silent for a moment on a busy machine and is probed; then it goes on, until its
// caller holds the stream up. The probe is not answered in time. The stream is not run again.
test('a probe from before a caller held its stream up ends nothing', () => {
  const { cluster, attemptId, stall } = startStream();
  stall();
  cluster.advance(1700);
  assert.equal(isProbedOrDown(cluster), true);
  cluster.entry.send({ type: 'attemptHeld', attemptId, held: true });
  cluster.advance(1500);
  assert.equal(isProbedOrDown(cluster), false);
  assert.ok(cluster.entry.state.attempts.has(attemptId));
});

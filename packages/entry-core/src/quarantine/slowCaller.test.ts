import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

/** True if the engine was put in doubt, or given up already. */
function isInDoubt(world: SimulatedCluster): boolean {
  const { unresolvedLosses: losses, down } = world.entry.state.quarantine;
  return losses.size + down.size > 0;
}

/** A stream that runs at one of two engines; `stall` has that engine give nothing more, nor answer. */
function startStream() {
  const world = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  world.entry.submitRequest(makeRequest('slow', { maxTokens: 5000 }));
  world.advance(300);
  const [attempt] = world.entry.state.attempts.values();
  assert.ok(attempt !== undefined);
  const { attemptId, instance } = attempt;
  const stall = () => {
    world.probesAnswered = false;
    world.engine(instance).streams.forEach((stream) => {
      stream.stalled = true;
    });
  };
  return { world, attemptId, stall };
}

// A caller reads more slowly than its engine gives; the entry stops reading, and no token comes for
// seconds. The engine is not to blame. It was probed all the same, and where the instance was too
// busy for the answer to come within a second, all streams of that engine were run again elsewhere.
test('a stream that its caller holds up does not put its engine in doubt', () => {
  const { world, attemptId, stall } = startStream();
  world.entry.send({ type: 'attemptHeld', attemptId, held: true });
  stall();
  world.advance(3000);
  assert.equal(isInDoubt(world), false);
  // It has caught up: from here on the engine is to give again.
  world.entry.send({ type: 'attemptHeld', attemptId, held: false });
  world.advance(1000);
  assert.equal(isInDoubt(world), false);
  world.advance(700);
  assert.equal(isInDoubt(world), true);
});

// The engine falls silent for a moment on a busy machine and is probed; then it goes on, until its
// caller holds the stream up. The probe is not answered in time. The stream is not run again.
test('a probe from before a caller held its stream up ends nothing', () => {
  const { world, attemptId, stall } = startStream();
  stall();
  world.advance(1700);
  assert.equal(isInDoubt(world), true);
  world.entry.send({ type: 'attemptHeld', attemptId, held: true });
  world.advance(1500);
  assert.equal(isInDoubt(world), false);
  assert.ok(world.entry.state.attempts.has(attemptId));
});

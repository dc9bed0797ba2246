import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  POISON_DIGEST,
  makeRequest,
  findFailedHarmlessCallers,
  runPoisonBatch,
  SimulatedCluster,
} from '../driver/index.js';

const BATCH = 30;

// The 29 innocent callers see their whole answers; the caller of the bad request is told that it is
// quarantined. The bad request crashes its engine, and all that ran there become suspects, which are
// run apart from each other. Its second crash therefore names it alone, and it is run no more.
for (const crashAt of [0, 40, 150]) {
  for (const unreachable of [false, true]) {
    const how = unreachable ? 'vanishes' : 'refuses connections';
    test(`a bad request crashes at token ${crashAt} and the engine ${how}`, () => {
      const world = runPoisonBatch({ crashAtToken: crashAt, unreachable });
      assert.deepEqual(world.findViolations(), []);
      assert.equal(world.countLostEngines(), 2);
      assert.deepEqual(findFailedHarmlessCallers(world), []);
      const bad = world.callers().find(({ request }) => request.digest === POISON_DIGEST);
      const final = bad?.finalAnswers[0];
      assert.equal(
        final?.type === 'problem' && `${final.kind} ${final.ran}`,
        'quarantined unknown',
      );
    });
  }
}

// The same story, but the crashed engine is back before the probe, which is answered. All its connections
// were reset together, so it is taken for restarted, and the second crash names the bad request.
for (const crashAt of [0, 40]) {
  test(`a bad request crashes engines at token ${crashAt} that restart at once`, () => {
    const world = runPoisonBatch({ crashAtToken: crashAt, restartsImmediately: true });
    const deaths = [...world.engines.values()].reduce((sum, engine) => sum + engine.deaths, 0);
    assert.deepEqual(world.findViolations(), []);
    assert.equal(deaths, 2);
    assert.deepEqual(findFailedHarmlessCallers(world), []);
  });
}

// Shows that the checks above can fail: when suspects are run together, the second crash has many
// of them, none can be named, and more engines are lost.
test('without keeping suspects apart, a third engine is lost', () => {
  const apart = runPoisonBatch({ engines: 3 });
  assert.deepEqual([apart.countLostEngines(), findFailedHarmlessCallers(apart).length], [2, 0]);
  const together = runPoisonBatch({ engines: 3, isolateSuspects: false });
  assert.equal(
    together.countLostEngines() > 2 || findFailedHarmlessCallers(together).length > 0,
    true,
  );
});

interface Resends {
  readonly crashAt: number;
  readonly firstAfter: number;
  readonly secondAfter: number;
}

/** Three entries share 29 innocent requests and a bad one; its caller sends it again twice. */
function runResends({ crashAt, firstAfter, secondAfter }: Resends): SimulatedCluster {
  const poison = new Map([[POISON_DIGEST, crashAt]]);
  const world = new SimulatedCluster({
    engines: { 'wien-a': 6 },
    crashTokenByDigest: poison,
    entries: 3,
  });
  for (let number = 1; number < BATCH; number += 1) {
    world.entryAt(number % 3).submitRequest(makeRequest(`request-${number}`, { maxTokens: 400 }));
  }
  world.entryAt(0).submitRequest(makeRequest('bad', { digest: POISON_DIGEST }));
  while (world.countLostEngines() === 0) world.advance(10);
  world.advance(firstAfter);
  world.entryAt(1).submitRequest(makeRequest('bad-again', { digest: POISON_DIGEST }));
  world.advance(secondAfter);
  world.entryAt(2).submitRequest(makeRequest('bad-once-more', { digest: POISON_DIGEST }));
  world.runUntilAnswered();
  return world;
}

// The caller sends its request again after the first crash, and once more, through other entries.
// These know of the crash from their peer's reports a moment later, keep the request apart from other
// suspects, never run it while it runs elsewhere, and honour the quarantine. No third engine is lost
// and no innocent caller is refused.
for (const crashAt of [0, 20, 100]) {
  for (const firstAfter of [200, 700, 1500]) {
    test(`resends ${firstAfter} ms after a crash at token ${crashAt} take no third engine`, () => {
      const world = runResends({ crashAt, firstAfter, secondAfter: 400 });
      assert.deepEqual(world.findViolations(), []);
      assert.equal(world.countLostEngines() <= 2, true, `${world.countLostEngines()} engines lost`);
      assert.deepEqual(findFailedHarmlessCallers(world), []);
    });
  }
}

// The caller sees its whole answer, although two engines died under it: both deaths had other causes.
// The answer had run well past the point of the first one, so the second does not name it.
test('a request that is lost twice by chance is not refused', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 6 } });
  const caller = world.entry.submitRequest(makeRequest('unlucky', { maxTokens: 800 }));
  [3000, 6000].forEach((span) => {
    world.advance(span);
    world.engines.forEach((engine) => {
      if (engine.streams.size > 0) engine.die();
    });
  });
  world.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.deepEqual(world.findViolations(), []);
});

// The caller of the bad request is refused at every entry, also while no store can be reached: the
// entry that named it keeps it out by itself, and its report tells the others.
test('a quarantine holds at all entries without the store', () => {
  const poison = new Map([[POISON_DIGEST, 20]]);
  const world = new SimulatedCluster({
    engines: { 'wien-a': 4 },
    crashTokenByDigest: poison,
    entries: 2,
  });
  world.storeReachable = false;
  world.entryAt(0).submitRequest(makeRequest('bad', { digest: POISON_DIGEST }));
  world.runUntilAnswered();
  world.advance(1000);
  [0, 1].forEach((position) => {
    world
      .entryAt(position)
      .submitRequest(makeRequest(`again-${position}`, { digest: POISON_DIGEST }));
  });
  world.runUntilAnswered();
  assert.deepEqual(world.findViolations(), []);
  assert.equal(world.countLostEngines(), 2);
  assert.deepEqual(
    world.callers().map(({ finalAnswers: [final] }) => final?.type === 'problem' && final.ran),
    ['unknown', 'no', 'no'],
  );
});

// Callers see whole answers. A data centre is cut off, so several engines stop answering together. One
// request cannot have caused that, so none is suspected, and a second outage quarantines nobody.
test('the loss of a whole data centre makes no suspects', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 3, 'wien-b': 3 } });
  for (let number = 1; number <= BATCH; number += 1) {
    world.entry.submitRequest(makeRequest(`request-${number}`));
  }
  world.advance(1500);
  ['wien-a-engine-1', 'wien-a-engine-2', 'wien-a-engine-3'].forEach((instance) => {
    world.engine(instance).unreachable = true;
    world.engine(instance).die();
  });
  world.advance(1500);
  assert.equal(world.entry.state.quarantine.suspects.size, 0);
  world.runUntilAnswered();
  assert.deepEqual(world.findViolations(), []);
  assert.equal(
    world.callers().every(({ finalAnswers: finals }) => finals[0]?.type === 'whole'),
    true,
  );
});

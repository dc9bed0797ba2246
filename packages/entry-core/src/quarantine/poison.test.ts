import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  POISON_DIGEST,
  makeRequest,
  findFailedHarmlessCallers,
  runPoisonBatch,
  SimulatedCluster,
} from '../driver/index.js';

const BATCH_SIZE = 30;

// The 29 innocent callers see their whole answers; the caller of the bad request is told that it is
// quarantined. The bad request crashes its engine, and all that ran there become suspects, which are
// run apart from each other. Its second crash therefore names it alone, and it is run no more.
for (const crashAtToken of [0, 40, 150]) {
  for (const unreachable of [false, true]) {
    const failureMode = unreachable ? 'vanishes' : 'refuses connections';
    test(`a bad request crashes at token ${crashAtToken} and the engine ${failureMode}`, () => {
      const cluster = runPoisonBatch({ crashAtToken, unreachable });
      assert.deepEqual(cluster.findViolations(), []);
      assert.equal(cluster.countLostEngines(), 2);
      assert.deepEqual(findFailedHarmlessCallers(cluster), []);
      const bad = cluster.callers().find(({ request }) => request.digest === POISON_DIGEST);
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
for (const crashAtToken of [0, 40]) {
  test(`a bad request crashes engines at token ${crashAtToken} that restart at once`, () => {
    const cluster = runPoisonBatch({ crashAtToken, restartsImmediately: true });
    const deaths = [...cluster.engines.values()].reduce((sum, engine) => sum + engine.deaths, 0);
    assert.deepEqual(cluster.findViolations(), []);
    assert.equal(deaths, 2);
    assert.deepEqual(findFailedHarmlessCallers(cluster), []);
  });
}

// Shows that the checks above can fail: when suspects are run together, the second crash has many
// of them, none can be named, and more engines are lost.
test('without keeping suspects apart, a third engine is lost', () => {
  const isolated = runPoisonBatch({ engines: 3 });
  assert.deepEqual(
    [isolated.countLostEngines(), findFailedHarmlessCallers(isolated).length],
    [2, 0],
  );
  const unisolated = runPoisonBatch({ engines: 3, isolateSuspects: false });
  assert.equal(
    unisolated.countLostEngines() > 2 || findFailedHarmlessCallers(unisolated).length > 0,
    true,
  );
});

interface Resends {
  readonly crashAtToken: number;
  readonly firstAfter: number;
  readonly secondAfter: number;
}

/** Three entries share 29 innocent requests and a bad one; its caller sends it again twice. */
function runResends({ crashAtToken, firstAfter, secondAfter }: Resends): SimulatedCluster {
  const crashTokenByDigest = new Map([[POISON_DIGEST, crashAtToken]]);
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': 6 },
    crashTokenByDigest,
    entries: 3,
  });
  for (let number = 1; number < BATCH_SIZE; number += 1) {
    cluster.entryAt(number % 3).submitRequest(makeRequest(`request-${number}`, { maxTokens: 400 }));
  }
  cluster.entryAt(0).submitRequest(makeRequest('bad', { digest: POISON_DIGEST }));
  while (cluster.countLostEngines() === 0) cluster.advance(10);
  cluster.advance(firstAfter);
  cluster.entryAt(1).submitRequest(makeRequest('bad-again', { digest: POISON_DIGEST }));
  cluster.advance(secondAfter);
  cluster.entryAt(2).submitRequest(makeRequest('bad-once-more', { digest: POISON_DIGEST }));
  cluster.runUntilAnswered();
  return cluster;
}

// The caller sends its request again after the first crash, and once more, through other entries.
// These know of the crash from their peer's reports a moment later, keep the request apart from other
// suspects, never run it while it runs elsewhere, and honour the quarantine. No third engine is lost
// and no innocent caller is refused.
for (const crashAtToken of [0, 20, 100]) {
  for (const firstAfter of [200, 700, 1500]) {
    test(`resends ${firstAfter} ms after a crash at token ${crashAtToken} take no third engine`, () => {
      const cluster = runResends({ crashAtToken, firstAfter, secondAfter: 400 });
      assert.deepEqual(cluster.findViolations(), []);
      assert.equal(
        cluster.countLostEngines() <= 2,
        true,
        `${cluster.countLostEngines()} engines lost`,
      );
      assert.deepEqual(findFailedHarmlessCallers(cluster), []);
    });
  }
}

// The caller sees its whole answer, although two engines died under it: both deaths had other causes.
// The answer had run well past the point of the first one, so the second does not name it.
test('a request that is lost twice by chance is not refused', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 6 } });
  const caller = cluster.entry.submitRequest(makeRequest('unlucky', { maxTokens: 800 }));
  [3000, 6000].forEach((span) => {
    cluster.advance(span);
    cluster.engines.forEach((engine) => {
      if (engine.streams.size > 0) engine.die();
    });
  });
  cluster.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.deepEqual(cluster.findViolations(), []);
});

// The caller of the bad request is refused at every entry, also while no store can be reached: the
// entry that named it keeps it out by itself, and its report tells the others.
test('a quarantine holds at all entries without the store', () => {
  const crashTokenByDigest = new Map([[POISON_DIGEST, 20]]);
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': 4 },
    crashTokenByDigest,
    entries: 2,
  });
  cluster.storeReachable = false;
  cluster.entryAt(0).submitRequest(makeRequest('bad', { digest: POISON_DIGEST }));
  cluster.runUntilAnswered();
  cluster.advance(1000);
  [0, 1].forEach((position) => {
    cluster
      .entryAt(position)
      .submitRequest(makeRequest(`again-${position}`, { digest: POISON_DIGEST }));
  });
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(cluster.countLostEngines(), 2);
  assert.deepEqual(
    cluster.callers().map(({ finalAnswers: [final] }) => final?.type === 'problem' && final.ran),
    ['unknown', 'no', 'no'],
  );
});

// Callers see whole answers. A data centre is cut off, so several engines stop answering together. One
// request cannot have caused that, so none is suspected, and a second outage quarantines nobody.
test('the loss of a whole data centre makes no suspects', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 3, 'wien-b': 3 } });
  for (let number = 1; number <= BATCH_SIZE; number += 1) {
    cluster.entry.submitRequest(makeRequest(`request-${number}`));
  }
  cluster.advance(1500);
  ['wien-a-engine-1', 'wien-a-engine-2', 'wien-a-engine-3'].forEach((instance) => {
    cluster.engine(instance).unreachable = true;
    cluster.engine(instance).die();
  });
  cluster.advance(1500);
  assert.equal(cluster.entry.state.quarantine.suspects.size, 0);
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(
    cluster.callers().every(({ finalAnswers }) => finalAnswers[0]?.type === 'whole'),
    true,
  );
});

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

// Guards against a poison request that crashes more than two engines or makes harmless requests
// fail. The first crash makes all requests on the engine suspects; the second identifies the poison
// request.
for (const crashAtToken of [0, 40, 150]) {
  for (const unreachable of [false, true]) {
    const failureMode = unreachable ? 'leaves probes unanswered' : 'refuses probes';
    test(`a poison request is quarantined after two crashes at token ${crashAtToken} if the engine ${failureMode}`, () => {
      const cluster = runPoisonBatch({ crashAtToken, unreachable });
      assert.deepEqual(cluster.findViolations(), []);
      assert.equal(cluster.countLostEngines(), 2);
      assert.deepEqual(findFailedHarmlessCallers(cluster), []);
      const poisonCaller = cluster
        .callers()
        .find(({ request }) => request.digest === POISON_DIGEST);
      const finalAnswer = poisonCaller?.finalAnswers[0];
      assert.equal(
        finalAnswer?.type === 'problem' && `${finalAnswer.kind} ${finalAnswer.ran}`,
        'quarantined unknown',
      );
    });
  }
}

// The same scenario with engines that restart before the probe: several connections that are reset
// together must be treated as a crash.
for (const crashAtToken of [0, 40]) {
  test(`a poison request is quarantined after two crashes at token ${crashAtToken} if engines restart immediately`, () => {
    const cluster = runPoisonBatch({ crashAtToken, restartsImmediately: true });
    const deaths = [...cluster.engines.values()].reduce((sum, engine) => sum + engine.deaths, 0);
    assert.deepEqual(cluster.findViolations(), []);
    assert.equal(deaths, 2);
    assert.deepEqual(findFailedHarmlessCallers(cluster), []);
  });
}

// Shows that the checks above can fail: without isolation, the second crash hits many suspects and
// identifies none.
test('without isolation, a third engine is lost or harmless requests fail', () => {
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

interface ResendOptions {
  readonly crashAtToken: number;
  /** Time from the first crash to the first resend. */
  readonly firstDelayMilliseconds: number;
  /** Time from the first resend to the second. */
  readonly secondDelayMilliseconds: number;
}

/**
 * Sends 29 harmless requests through three entries and a poison request through the first. After
 * the first crash, the poison request is sent again through the second entry, and then through the
 * third.
 */
function runResends({
  crashAtToken,
  firstDelayMilliseconds,
  secondDelayMilliseconds,
}: ResendOptions): SimulatedCluster {
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
  cluster.advance(firstDelayMilliseconds);
  cluster.entryAt(1).submitRequest(makeRequest('bad-again', { digest: POISON_DIGEST }));
  cluster.advance(secondDelayMilliseconds);
  cluster.entryAt(2).submitRequest(makeRequest('bad-once-more', { digest: POISON_DIGEST }));
  cluster.runUntilAnswered();
  return cluster;
}

// Guards against a resend through another entry that crashes a third engine. Entries report their
// suspects to each other, so the resend is isolated, does not run concurrently with the original,
// and is refused once the digest is quarantined.
for (const crashAtToken of [0, 20, 100]) {
  for (const firstDelayMilliseconds of [200, 700, 1500]) {
    test(`resends ${firstDelayMilliseconds} ms after a crash at token ${crashAtToken} crash no third engine`, () => {
      const cluster = runResends({
        crashAtToken,
        firstDelayMilliseconds,
        secondDelayMilliseconds: 400,
      });
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

// Guards against quarantining a request that was in progress at two unrelated crashes. It ran well
// past the point of the first crash, so the second crash is not attributed to it.
test('a request that is interrupted by two unrelated crashes is not quarantined', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 6 } });
  const caller = cluster.entry.submitRequest(makeRequest('unlucky', { maxTokens: 800 }));
  [3000, 6000].forEach((duration) => {
    cluster.advance(duration);
    cluster.engines.forEach((engine) => {
      if (engine.streams.size > 0) engine.die();
    });
  });
  cluster.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.deepEqual(cluster.findViolations(), []);
});

// Guards against a quarantine that depends on the store: the entry that starts it enforces it and
// announces it to its peers.
test('a quarantine is enforced at all entries while the store is unreachable', () => {
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
    cluster
      .callers()
      .map(({ finalAnswers: [finalAnswer] }) => finalAnswer?.type === 'problem' && finalAnswer.ran),
    ['unknown', 'no', 'no'],
  );
});

// Guards against suspecting requests when a data centre becomes unreachable: a single request
// cannot take down several engines at once.
test('the loss of a whole data centre creates no suspects', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 3, 'wien-b': 3 } });
  for (let number = 1; number <= BATCH_SIZE; number += 1) {
    cluster.entry.submitRequest(makeRequest(`request-${number}`));
  }
  cluster.advance(1500);
  ['wien-a-engine-1', 'wien-a-engine-2', 'wien-a-engine-3'].forEach((instance) => {
    cluster.engine(instance).unreachableWhenDead = true;
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

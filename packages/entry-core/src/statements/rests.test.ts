/** Backend servers that refuse a request and ask the entry that sent it for rest. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Milliseconds } from '@hornbeampond/schema';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeRequest, type SimulatedCluster } from '../driver/index.js';
import { EntryHarness } from '../testing/EntryHarness.js';
import { exampleRequest, examplePool, exampleRoute } from '../testing/examples.js';
import { findRestViolations } from './testing/findRestViolations.js';
import { makeCluster, runLoad } from './testing/runLoad.js';

// Guards against a server that is asked again and again by an entry from which it wants nothing:
// since it refuses at once, it looks idle and attracts more requests than any other.
test('an entry sends nothing to a backend server that has asked it for rest', () => {
  const cluster = makeCluster({ entries: 8 });
  const engine = cluster.engine('wien-a-engine-1');
  Object.assign(engine, { busy: true, restFor: 3000 });
  runLoad(cluster, { requestsPerSecond: 40, duration: 9000 });
  assert.deepEqual(findRestViolations(engine), []);
});

// Guards against callers that get an error, or wait, although other servers are free.
test('callers are served by the other backend servers while one rests', () => {
  const cluster = makeCluster({ entries: 8 });
  Object.assign(cluster.engine('wien-a-engine-1'), { busy: true, restFor: 3000 });
  runLoad(cluster, { requestsPerSecond: 40, duration: 9000 });
  cluster.runUntilAnswered();
  cluster.callers().forEach(({ arrivedAt, firstTokenAt = Infinity, finalAnswers }) => {
    assert.equal(finalAnswers[0]?.type, 'whole');
    assert.ok(firstTokenAt - arrivedAt <= 500, `first token after ${firstTokenAt - arrivedAt} ms`);
  });
});

function restAllEngines(cluster: SimulatedCluster, restFor: Milliseconds | undefined): void {
  const isBusy = restFor !== undefined;
  cluster.engines.forEach((engine) => Object.assign(engine, { busy: isBusy, restFor }));
}

/** Makes every engine ask the entry for rest, and lets it serve again. */
function makeRestingCluster(restFor: Milliseconds): SimulatedCluster {
  const cluster = makeCluster({ entries: 1, enginesPerDataCentre: 1 });
  restAllEngines(cluster, restFor);
  cluster.engines.forEach(({ instance }) =>
    cluster.entry.send({ type: 'serverStated', instance, restFor }),
  );
  restAllEngines(cluster, undefined);
  return cluster;
}

// Guards against a caller that waits until its deadline although no server will take its request.
test('a request is refused at once if all backend servers rest beyond its deadline', () => {
  const cluster = makeRestingCluster(8000);
  const { finalAnswers } = cluster.entry.submitRequest(makeRequest('one'));
  assert.deepEqual(finalAnswers, [
    {
      type: 'problem',
      at: cluster.clock().now,
      kind: 'noBackendServer',
      ran: 'no',
      retryAfterMilliseconds: 8000,
    },
  ]);
});

// Guards against refusing what can be served in time.
test('a request waits for backend servers that have rested in time for it', () => {
  const cluster = makeRestingCluster(1000);
  const caller = cluster.entry.submitRequest(makeRequest('one'));
  const { arrivedAt } = caller;
  cluster.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  const waited = (caller.firstTokenAt ?? Infinity) - arrivedAt;
  assert.ok(waited >= 1000 && waited <= 1300, `first token after ${waited} ms`);
});

// Guards against a request that waits for the server that refused it while another one is free.
test('a refused request is tried elsewhere without waiting for the end of the rest', () => {
  const cluster = makeCluster({ entries: 1, enginesPerDataCentre: 1 });
  Object.assign(cluster.engine('wien-a-engine-1'), { busy: true, restFor: 4000 });
  const caller = cluster.entry.submitRequest(makeRequest('one'));
  cluster.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.ok((caller.firstTokenAt ?? Infinity) - caller.arrivedAt <= 500);
});

// Guards against a burst that is refused whole because the server has not recovered yet.
test('after its rest a backend server gets one request until it has answered that', () => {
  const cluster = makeCluster({ entries: 1, enginesPerDataCentre: 1 });
  runLoad(cluster, { requestsPerSecond: 20, duration: 3000 });
  cluster.runUntilAnswered();
  restAllEngines(cluster, 1000);
  const engine = cluster.engine('wien-a-engine-1');
  const { now: since } = cluster.clock();
  cluster.engines.forEach(({ instance }) =>
    cluster.entry.send({ type: 'serverStated', instance, restFor: 1000 }),
  );
  const callers = Array.from({ length: 10 }, (_, number) =>
    cluster.entry.submitRequest(makeRequest(`waiting-${number}`, { maxTokens: 20 })),
  );
  cluster.advance(1500);
  assert.equal(engine.arrivals.filter(({ at }) => at >= since).length, 1);
  restAllEngines(cluster, undefined);
  cluster.runUntilAnswered();
  const whole = callers.filter(({ finalAnswers }) => finalAnswers[0]?.type === 'whole');
  // The two that were refused as trials have less time left than the others.
  assert.ok(whole.length >= 8, `${whole.length} of 10 answers are whole`);
});

// Guards against callers that get the refusal of a trial because their route allows one attempt.
test('a request that cannot be tried elsewhere is no trial while another server is free', () => {
  const harness = new EntryHarness({
    servers: 2,
    speed: {
      concurrency: 8,
      prefillMillisecondsPerToken: 0.1,
      decodeMillisecondsPerToken: 1,
      cachedPrefixes: 10,
    },
    routes: [
      exampleRoute({ name: 'once', match: { pathPrefix: '/once' }, mostAttempts: 1 }),
      exampleRoute({ mostAttempts: 2 }),
    ],
    pool: examplePool(8),
  });
  /** Sends some requests at once and returns how many go to the server that has rested. */
  const countTrials = (path: string) => {
    const names = Array.from(
      { length: 4 },
      (_, number) => `${path}-${harness.timeline.now}-${number}`,
    );
    names.forEach((name) => harness.submitRequest(exampleRequest(name, { path }), 10));
    const attempts = [...(harness.entries[0]?.attempts.values() ?? [])];
    harness.timeline.runUntil(harness.timeline.now + 1000);
    return attempts.filter(({ instance }) => instance === 'engine-0').length;
  };
  harness.send({ type: 'serverStated', instance: 'engine-0', restFor: 500 });
  harness.timeline.runUntil(harness.timeline.now + 1000);
  assert.equal(countTrials('/once/a'), 0);
  assert.equal(countTrials('/v1/chat/completions'), 1);
  assert.ok(countTrials('/once/a') > 0);
});

// Guards against a later, shorter wish that ends an earlier one too soon, and against a wish that
// other entries take for theirs.
test('a wish for rest holds to its end, and for the entry that was asked alone', () => {
  const cluster = makeCluster({ entries: 2 });
  const [one, two] = cluster.entries;
  const instance = 'wien-a-engine-1';
  one?.send({ type: 'serverStated', instance, restFor: 3000 });
  cluster.advance(1000);
  one?.send({ type: 'serverStated', instance, restFor: 500 });
  cluster.advance(1500);
  const { now } = cluster.clock();
  assert.equal(one?.state.rests.remaining(instance, now), 500);
  assert.equal(two?.state.rests.remaining(instance, now), 0);
});

// Guards against ways to a resting server: second attempts, resumed and moved streams, probes.
test('no kind of request reaches a resting backend server, whatever fails beside it', () => {
  const random = xoroshiro128plus(5);
  for (let run = 0; run < 8; run += 1) {
    const cluster = makeCluster({ entries: 4, enginesPerDataCentre: 3 });
    const engines = [...cluster.engines.values()];
    for (let step = 0; step < 8; step += 1) {
      const engine = engines[uniformInt(random, 0, engines.length - 1)];
      const isBusy = uniformInt(random, 0, 2) > 0;
      Object.assign(engine ?? {}, { busy: isBusy, restFor: isBusy ? 2000 : undefined });
      const lost = engines[uniformInt(random, 0, engines.length - 1)];
      if (step === 2) lost?.die();
      if (step === 4 && lost?.alive === true) {
        cluster.entries.forEach((entry) => cluster.reclaim([lost.instance], 1500, entry));
      }
      if (step === 6) lost?.streams.forEach((stream) => Object.assign(stream, { stalled: true }));
      runLoad(cluster, { requestsPerSecond: 30, duration: 1000 });
    }
    cluster.runUntilAnswered();
    engines.forEach((engine) => assert.deepEqual(findRestViolations(engine), [], `run ${run}`));
    assert.deepEqual(cluster.findViolations(), []);
  }
});

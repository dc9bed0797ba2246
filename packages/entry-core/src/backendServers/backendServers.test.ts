import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { AttemptFailure } from '../entryEvents.js';
import { attemptFailures } from '../entryEvents.js';
import { EntryHarness, type HarnessOptions } from '../testing/EntryHarness.js';
import {
  examplePool,
  exampleRequest,
  exampleRoute,
  makeDeadlineFields,
} from '../testing/examples.js';
import { chooseBackendServer } from './chooseBackendServer.js';
import { recordFailure } from './ejectOutliers.js';
import type { PoolState } from './PoolState.js';
import type { PromptPrefixes } from './PrefixCacheIndex.js';

const CONCURRENCY = 8;
const SECOND = 1000;

const slowDecodeSpeed = {
  concurrency: CONCURRENCY,
  prefillMillisecondsPerToken: 0.2,
  decodeMillisecondsPerToken: 100,
  cachedPrefixes: 100,
};

function makeHarness(options: Partial<HarnessOptions> = {}): EntryHarness {
  return new EntryHarness({
    servers: 4,
    speed: {
      concurrency: CONCURRENCY,
      prefillMillisecondsPerToken: 0.2,
      decodeMillisecondsPerToken: 10,
      cachedPrefixes: 100,
    },
    routes: [exampleRoute(makeDeadlineFields(2000))],
    pool: examplePool(CONCURRENCY),
    ...options,
  });
}

function getPool(harness: EntryHarness): PoolState {
  const pool = harness.entries[0]?.poolStates.get('engines');
  assert.ok(pool);
  return pool;
}

/** Sends a request every `interval` milliseconds of virtual time, up to the time `until`. */
function sendEvery(harness: EntryHarness, interval: number, until: number): void {
  let number = 0;
  harness.timeline.every(interval, () => {
    if (harness.timeline.now > until) return;
    number += 1;
    harness.submitRequest(exampleRequest(`steady-${number}`), 20);
  });
}

function inProgressAt(harness: EntryHarness, instance: string): number {
  return harness.entries[0]?.backendServers.get(instance)?.attemptIds.size ?? 0;
}

/**
 * Sends a request, advances the timeline by 5 seconds, in which it is answered, and returns the
 * instance that it was sent to.
 */
function sendAndAwaitAnswer(
  harness: EntryHarness,
  requestId: string,
  prefixDigests: string[],
): string {
  const [state] = harness.entries;
  assert.ok(state);
  harness.submitRequest(exampleRequest(requestId, { prefixDigests, promptTokens: 4000 }), 20);
  const attempt = state.attempts.get(`${requestId}.1`);
  assert.ok(attempt, `${requestId} was not sent`);
  harness.timeline.runUntil(harness.timeline.now + 5 * SECOND);
  return attempt.instance;
}

// An engine that answers every request with an error looks idle. It must be ejected and tried again
// only now and then, and each failed request must be retried on another engine.
test('an outlier that fails fast does not attract the work', () => {
  const harness = makeHarness();
  harness.failureByInstance.set('engine-2', 'serverError');
  sendEvery(harness, 50, 20 * SECOND);
  harness.timeline.runUntil(30 * SECOND);
  const outcomes = [...harness.outcomes.values()];
  assert.ok(outcomes.every(({ finishedAt }) => finishedAt !== undefined));
  const failedFirstAttempts = harness.counts.get('retries/backendServerError') ?? 0;
  assert.ok(
    failedFirstAttempts <= 0.05 * outcomes.length,
    `${failedFirstAttempts} of ${outcomes.length} requests failed at their first attempt`,
  );
  assert.ok(failedFirstAttempts > 3, 'engine-2 was not tried again after its ejection');
});

// After the engine recovers and its ejection has expired, it must get requests again.
test('a recovered outlier gets work again', () => {
  const harness = makeHarness();
  // 'connectFailed' would start a probe, during which the engine gets no requests, so it would not
  // fail often enough to be ejected.
  harness.failureByInstance.set('engine-2', 'serverError');
  sendEvery(harness, 50, 60 * SECOND);
  harness.timeline.runUntil(10 * SECOND);
  assert.equal(getPool(harness).local.ejected.size, 1);
  harness.failureByInstance.clear();
  harness.timeline.runUntil(59 * SECOND);
  assert.equal(getPool(harness).local.ejected.size, 0);
  assert.ok(inProgressAt(harness, 'engine-2') > 0);
});

// However many engines fail, ejection must leave at least half of each group in use, also after
// other engines have left the list.
test('ejection always leaves half of a group in use', () => {
  const failureArbitrary = fc.record({
    serverNumber: fc.nat({ max: 9 }),
    failure: fc.constantFrom<AttemptFailure>(...attemptFailures),
  });
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 10 }),
      fc.array(failureArbitrary, { maxLength: 120 }),
      fc.integer({ min: 1, max: 10 }),
      (serverCount, failures, remainingCount) => {
        const harness = makeHarness({ servers: serverCount });
        const pool = getPool(harness);
        const checkMinInUse = (listedCount: number) => {
          const inUse = pool.local.candidates.length;
          assert.ok(
            inUse >= Math.max(1, Math.ceil(listedCount / 2)),
            `${inUse} of ${listedCount} in use`,
          );
        };
        for (const { serverNumber } of failures) {
          const server = harness.entries[0]?.backendServers.get(
            `engine-${serverNumber % serverCount}`,
          );
          if (server !== undefined) recordFailure(pool, server, harness.timeline.now);
          checkMinInUse(serverCount);
        }
        harness.listEngines(Math.min(remainingCount, serverCount));
        checkMinInUse(Math.min(remainingCount, serverCount));
      },
    ),
    { seed: 7, numRuns: 200 },
  );
});

function makePrompt(...prefixDigests: string[]): PromptPrefixes {
  return { prefixDigests, promptTokens: 0 };
}

// Later requests of a conversation must go to the engine that has cached its prompt, until a cache
// event is missing (it may have been an eviction) or the cache was cleared.
test('affinity ends when a cache event is missing or the cache is cleared', () => {
  const harness = makeHarness();
  const cachedAt = sendAndAwaitAnswer(harness, 'turn-1', ['a', 'b']);
  for (const turn of [2, 3, 4]) {
    assert.equal(sendAndAwaitAnswer(harness, `turn-${turn}`, ['a', 'b', `c${turn}`]), cachedAt);
  }
  const sendStored = (sequence: number) => {
    const change = 'stored' as const;
    const event = { instance: cachedAt, sequence, change, prefixDigests: ['x'] };
    harness.send({ type: 'cacheEventsReceived', events: [event] });
  };
  const isCached = () =>
    getPool(harness).prefixCacheIndex.findHolders(makePrompt('a', 'b'), harness.timeline.now)
      .length > 0;
  sendStored(1);
  sendStored(2);
  assert.ok(isCached(), 'the prefix was lost after consecutive events');
  sendStored(4);
  assert.ok(!isCached(), 'the prefix still counts as cached after a missing event');
  const next = sendAndAwaitAnswer(harness, 'turn-5', ['a', 'b']);
  assert.ok(isCached());
  const cleared = { instance: next, sequence: 5, change: 'cleared' as const, prefixDigests: [] };
  harness.send({ type: 'cacheEventsReceived', events: [cleared] });
  assert.ok(!isCached(), 'the prefix still counts as cached after the cache was cleared');
});

// If the fraction were computed from the number of digests, a cached system prompt alone would
// count half as much as a cached conversation, although it is much shorter.
test('the cached fraction of a prompt is computed from tokens', () => {
  const harness = makeHarness();
  const cachedAt = sendAndAwaitAnswer(harness, 'turn-1', ['system', 'conversation']);
  const { prefixCacheIndex } = getPool(harness);
  const findHolder = (prefixDigests: string[]) =>
    prefixCacheIndex.findHolders(
      { prefixDigests, prefixTokens: [500, 5500, 12_000], promptTokens: 12_000 },
      harness.timeline.now,
    )[0];
  assert.equal(
    findHolder(['system', 'conversation', 'turn-2'])?.server.platformInstance.instance,
    cachedAt,
  );
  assert.equal(findHolder(['system', 'conversation', 'turn-2'])?.cachedFraction, 5500 / 12_000);
  assert.equal(findHolder(['system', 'another', 'turn-3'])?.cachedFraction, 500 / 12_000);
});

// A remote engine that has cached a long prompt must be preferred, because prefilling it again
// takes longer than the round trip. A short prompt must stay in the local data centre.
test('a long prompt goes to the data centre that has cached it', () => {
  const harness = makeHarness({
    servers: 2,
    dataCentreOf: (server) => (server === 0 ? 'dc-a' : 'dc-b'),
  });
  const remoteServer = harness.entries[0]?.backendServers.get('engine-1');
  assert.ok(remoteServer);
  const { prefixCacheIndex } = getPool(harness);
  prefixCacheIndex.recordCached(remoteServer, ['long'], harness.timeline.now);
  prefixCacheIndex.recordCached(remoteServer, ['short'], harness.timeline.now);
  harness.submitRequest(
    exampleRequest('first', { prefixDigests: ['long', 'own'], promptTokens: 4000 }),
    5,
  );
  harness.submitRequest(
    exampleRequest('second', { prefixDigests: ['short', 'own'], promptTokens: 40 }),
    5,
  );
  const instanceOf = (attempt: string) => harness.entries[0]?.attempts.get(attempt)?.instance;
  assert.equal(instanceOf('first.1'), 'engine-1');
  assert.equal(instanceOf('second.1'), 'engine-0');
});

// Entries must choose the same engine for requests of one conversation, or its prompt is prefilled
// and cached at several engines.
test('all entries start a conversation at the same engine', () => {
  const harness = makeHarness({ entries: 3 });
  const chosenInstances = ['one', 'two', 'three', 'four'].map((conversation) => {
    const request = {
      prefixDigests: ['system', conversation, `${conversation}/own`],
      prefixTokens: [500, 3500, 4000],
      promptTokens: 4000,
    };
    const instances = [0, 1, 2].map((entry) => {
      const requestId = `${conversation}-${entry}`;
      harness.submitRequest(exampleRequest(requestId, request), 20, entry);
      const attempt = harness.entries[entry]?.attempts.get(`${requestId}.1`);
      harness.timeline.runUntil(harness.timeline.now + 5 * SECOND);
      return attempt?.instance;
    });
    assert.equal(new Set(instances).size, 1, `${instances}`);
    return instances[0];
  });
  assert.ok(new Set(chosenInstances).size > 1, 'all conversations started at one engine');
});

// A prefix must no longer count as cached when nothing has confirmed it for two minutes: an engine
// that sends no cache events may have evicted it.
test('a cached prefix expires', () => {
  const harness = makeHarness();
  sendAndAwaitAnswer(harness, 'turn-1', ['a']);
  const isCachedAt = (now: number) =>
    getPool(harness).prefixCacheIndex.findHolders(makePrompt('a'), now).length > 0;
  assert.ok(isCachedAt(100 * SECOND));
  assert.ok(!isCachedAt(130 * SECOND));
});

// A request waits for the full engine that has cached its prefix only for a fraction of its
// first-token deadline. Then it must go to another engine and still meet the deadline.
test('a request goes to another engine if the one with its prefix stays full', () => {
  const harness = makeHarness({ servers: 2 });
  const cachedAt = sendAndAwaitAnswer(harness, 'turn-1', ['a']);
  const otherInstance = cachedAt === 'engine-0' ? 'engine-1' : 'engine-0';
  for (let number = 0; number < CONCURRENCY; number += 1) {
    const request = exampleRequest(`full-${number}`, { prefixDigests: ['a'], promptTokens: 4000 });
    harness.submitRequest(request, 4000);
    harness.timeline.runUntil(harness.timeline.now + 100);
  }
  assert.equal(inProgressAt(harness, cachedAt), CONCURRENCY);
  const request = exampleRequest('turn-2', { prefixDigests: ['a'], promptTokens: 4000 });
  const outcome = harness.submitRequest(request, 20);
  assert.equal(inProgressAt(harness, otherInstance), 0);
  harness.timeline.runUntil(outcome.arrivedAt + 700);
  assert.equal(inProgressAt(harness, otherInstance), 1);
  harness.timeline.runUntil(outcome.arrivedAt + 5 * SECOND);
  assert.ok((outcome.firstTokenAt ?? Infinity) - outcome.arrivedAt <= 2000);
});

// Conversations that share one system prompt must not all go to the engine that has cached it: the
// shared prefix saves less than a fuller batch costs.
test('new conversations spread although they share a prefix', () => {
  const harness = makeHarness();
  for (let number = 0; number < 12; number += 1) {
    const prefixDigests = ['system', `seller-${number}`];
    harness.submitRequest(
      exampleRequest(`turn-${number}`, { prefixDigests, promptTokens: 500 }),
      1000,
    );
    harness.timeline.runUntil(harness.timeline.now + 300);
  }
  const loads = [...harness.engines.keys()].map((instance) => inProgressAt(harness, instance));
  assert.ok(Math.max(...loads) <= 5, loads.join());
  assert.ok(Math.min(...loads) >= 1, loads.join());
});

// A new engine looks idle. It must not get a whole burst of requests while its slow start lasts,
// and must fill up to its limit afterwards.
test('a new engine gets little work at first and its full share after the slow start', () => {
  const harness = makeHarness({ servers: 5, speed: slowDecodeSpeed });
  harness.listEngines(4);
  harness.timeline.runUntil(SECOND);
  harness.listEngines(5);
  for (let number = 0; number < 40; number += 1) {
    harness.submitRequest(exampleRequest(`rush-${number}`), 1000);
  }
  assert.ok(inProgressAt(harness, 'engine-4') <= 2);
  assert.ok(inProgressAt(harness, 'engine-4') >= 1);
  harness.timeline.runUntil(11 * SECOND + 100);
  for (let number = 40; number < 80; number += 1) {
    harness.submitRequest(exampleRequest(`rush-${number}`), 1000);
  }
  assert.equal(inProgressAt(harness, 'engine-4'), CONCURRENCY);
});

// No deadline applies to requests that queue inside an engine. The limit of an engine that has
// become slow must drop while it is slow, and recover with the engine.
test('the concurrency limit of a slow engine is lowered and recovers', () => {
  const harness = makeHarness();
  const slowEngine = harness.engines.get('engine-1');
  assert.ok(slowEngine);
  const normalSpeed = slowEngine.speed;
  sendEvery(harness, 16, 60 * SECOND);
  harness.timeline.runUntil(5 * SECOND);
  slowEngine.speed = { ...normalSpeed, prefillMillisecondsPerToken: 5 };
  harness.timeline.runUntil(20 * SECOND);
  const balancing = harness.entries[0]?.backendServers.get('engine-1')?.balancing;
  assert.ok((balancing?.limit ?? 0) < 0.5 * CONCURRENCY, `limit ${balancing?.limit}`);
  slowEngine.speed = normalSpeed;
  harness.timeline.runUntil(59 * SECOND);
  assert.ok((balancing?.limit ?? 0) > 0.9 * CONCURRENCY, `limit ${balancing?.limit}`);
});

// A slow engine must get less work while others have capacity. Because the estimated slowness
// decays, the engine must get work again after it has recovered.
test('a slow engine gets less work and is tried again later', () => {
  const harness = makeHarness();
  const slowEngine = harness.engines.get('engine-1');
  assert.ok(slowEngine);
  const normalSpeed = slowEngine.speed;
  sendEvery(harness, 40, 60 * SECOND);
  harness.timeline.runUntil(5 * SECOND);
  slowEngine.speed = { ...normalSpeed, prefillMillisecondsPerToken: 5 };
  harness.timeline.runUntil(20 * SECOND);
  const slowOutcomes = [...harness.outcomes.values()].filter(
    ({ arrivedAt, firstTokenAt = 0 }) => firstTokenAt - arrivedAt > 400,
  );
  // 5 % of 25 requests per second, over the 15 seconds in which the engine is slow.
  assert.ok(slowOutcomes.length <= 0.05 * 15 * 25, `${slowOutcomes.length} were slow`);
  slowEngine.speed = normalSpeed;
  harness.timeline.runUntil(59 * SECOND);
  assert.ok(slowEngine.running > 0);
});

// With one random choice per request, some engines would get several times the mean load; with two,
// the busiest must stay near the mean.
test('two random choices keep the load of a thousand engines even', () => {
  const harness = makeHarness({ servers: 1000 });
  for (let number = 0; number < 2000; number += 1) {
    harness.submitRequest(exampleRequest(`request-${number}`), 1000);
  }
  const loads = [...harness.engines.keys()].map((instance) => inProgressAt(harness, instance));
  assert.ok(Math.max(...loads) <= 4, `${Math.max(...loads)} on one engine`);
});

/** Later than the virtual time of the test: notices that have expired are ignored. */
const FUTURE_GONE_AT = Date.UTC(2100, 0, 1);

// With notices for all but one server, a request must still be answered; servers with a notice that
// are drawn are removed from the candidates before the next list of instances.
test('a server with a reclaim notice gets no new work', () => {
  const harness = makeHarness({ servers: 20 });
  const [state] = harness.entries;
  assert.ok(state);
  for (let serverNumber = 0; serverNumber < 19; serverNumber += 1) {
    harness.send({
      type: 'reclaimNoticed',
      instance: `engine-${serverNumber}`,
      goneAt: FUTURE_GONE_AT,
    });
  }
  harness.submitRequest(exampleRequest('one'), 20);
  const [accepted] = state.requests.values();
  assert.ok(accepted);
  assert.equal(chooseBackendServer(state, accepted), undefined);
  harness.timeline.runUntil(SECOND);
  assert.ok(harness.outcomes.get('one')?.finishedAt !== undefined);
  assert.ok(getPool(harness).local.candidates.length < 20);
});

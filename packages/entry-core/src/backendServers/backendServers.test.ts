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
  firstTokenWithin,
} from '../testing/examples.js';
import { chooseBackendServer } from './chooseBackendServer.js';
import { recordFailure } from './ejectOutliers.js';
import type { PoolState } from './PoolState.js';
import type { PromptPrefixes } from './PrefixCacheIndex.js';

const CONCURRENCY = 8;
const SECOND = 1000;

const slowAnswers = {
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
    routes: [exampleRoute(firstTokenWithin(2000))],
    pool: examplePool(CONCURRENCY),
    ...options,
  });
}

function getPool(harness: EntryHarness): PoolState {
  const pool = harness.entries[0]?.poolStates.get('engines');
  assert.ok(pool);
  return pool;
}

/** Sends one request every so often. */
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

function sendAndFindInstance(
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

// One of four engines answers every request with an error at once, so it always looks idle.
// Callers see their answers all the same, since each failed request is tried elsewhere; after
// three failures in a row the engine is let rest, and is asked again only now and then.
test('an outlier that fails fast does not draw the work', () => {
  const harness = makeHarness();
  harness.failureByInstance.set('engine-2', 'serverError');
  sendEvery(harness, 50, 20 * SECOND);
  harness.timeline.runUntil(30 * SECOND);
  const outcomes = [...harness.outcomes.values()];
  assert.ok(outcomes.every(({ finishedAt }) => finishedAt !== undefined));
  const failedFirst = harness.counts.get('retries/backendServerError') ?? 0;
  assert.ok(
    failedFirst <= 0.05 * outcomes.length,
    `${failedFirst} of ${outcomes.length} failed first`,
  );
  assert.ok(failedFirst > 3, 'it is asked again after a while');
});

// The outlier is mended after ten seconds. Its callers see nothing of it; it gets its share of
// the work again once its rest is over.
test('a mended outlier gets work again', () => {
  const harness = makeHarness();
  // Failed connections are probed, and keep work away before they could make an outlier.
  harness.failureByInstance.set('engine-2', 'serverError');
  sendEvery(harness, 50, 60 * SECOND);
  harness.timeline.runUntil(10 * SECOND);
  assert.equal(getPool(harness).local.ejected.size, 1);
  harness.failureByInstance.clear();
  harness.timeline.runUntil(59 * SECOND);
  assert.equal(getPool(harness).local.ejected.size, 0);
  assert.ok(inProgressAt(harness, 'engine-2') > 0);
});

// Whatever fails and however often, callers never find a pool emptied by ejection: at least half
// of the engines of each group of data centres stay in use, also when others leave meanwhile.
test('ejection never goes below the floor', () => {
  const failure = fc.record({
    server: fc.nat({ max: 9 }),
    failure: fc.constantFrom<AttemptFailure>(...attemptFailures),
  });
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 10 }),
      fc.array(failure, { maxLength: 120 }),
      fc.integer({ min: 1, max: 10 }),
      (servers, failures, remaining) => {
        const harness = makeHarness({ servers });
        const pool = getPool(harness);
        const checkFloor = (live: number) => {
          const inUse = pool.local.candidates.length;
          assert.ok(inUse >= Math.max(1, Math.ceil(live / 2)), `${inUse} of ${live} in use`);
        };
        for (const { server } of failures) {
          const found = harness.entries[0]?.backendServers.get(`engine-${server % servers}`);
          if (found !== undefined) recordFailure(pool, found, harness.timeline.now);
          checkFloor(servers);
        }
        harness.listEngines(Math.min(remaining, servers));
        checkFloor(Math.min(remaining, servers));
      },
    ),
    { seed: 7, numRuns: 200 },
  );
});

function makePrompt(...prefixDigests: string[]): PromptPrefixes {
  return { prefixDigests, promptTokens: 0 };
}

// A seller's long prompt has been computed on one engine, and later turns of it follow. They go to
// the same engine while its cache events are whole. Then an event is lost: it may have said that
// the prefix was evicted, so the next turn is placed as if nothing were known of that engine.
test('a gap in the cache events drops what was believed of the engine', () => {
  const harness = makeHarness();
  const cachedAt = sendAndFindInstance(harness, 'turn-1', ['a', 'b']);
  for (const turn of [2, 3, 4]) {
    assert.equal(sendAndFindInstance(harness, `turn-${turn}`, ['a', 'b', `c${turn}`]), cachedAt);
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
  assert.ok(isCached(), 'events without a gap keep it');
  sendStored(4);
  assert.ok(!isCached(), 'a gap drops it');
  const next = sendAndFindInstance(harness, 'turn-5', ['a', 'b']);
  assert.ok(isCached());
  const cleared = { instance: next, sequence: 5, change: 'cleared' as const, prefixDigests: [] };
  harness.send({ type: 'cacheEventsReceived', events: [cleared] });
  assert.ok(!isCached(), 'a cleared cache drops it');
});

// A workspace's system prompt is short and a conversation long. By the number of parts the engine
// that has only the system prompt would be taken to have half of what the other one has.
test('a cached prefix counts by its tokens', () => {
  const harness = makeHarness();
  const cachedAt = sendAndFindInstance(harness, 'turn-1', ['system', 'conversation']);
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

// Callers of two data centres take turns in one conversation. Its long prompt has been computed in
// the other data centre. Computing it again at home would delay this answer and all that run beside
// it; the way there and back is far shorter. A prompt that saves less than that way stays at home.
test('a long prompt goes to the data centre that has computed it', () => {
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

// Two entries that know nothing of each other's requests get the first turns of one conversation
// at the same moment. Begun at two engines its prompt would be computed twice, and lie in two caches.
test('entries begin the same conversation at the same engine', () => {
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
  assert.ok(new Set(chosenInstances).size > 1, 'not all at one engine');
});

// A belief that nothing has confirmed for two minutes is let go, as an engine that reports nothing
// will have evicted the prefix by then.
test('a belief expires', () => {
  const harness = makeHarness();
  sendAndFindInstance(harness, 'turn-1', ['a']);
  const isCachedAt = (now: number) =>
    getPool(harness).prefixCacheIndex.findHolders(makePrompt('a'), now).length > 0;
  assert.ok(isCachedAt(100 * SECOND));
  assert.ok(!isCachedAt(130 * SECOND));
});

// The engine that has the prefix is full. The caller's next turn waits for it a third of its
// patience and no longer: then it goes to another engine and pays for the prompt again, and is
// still in time.
test('affinity gives way to a full engine', () => {
  const harness = makeHarness({ servers: 2 });
  const cachedAt = sendAndFindInstance(harness, 'turn-1', ['a']);
  const other = cachedAt === 'engine-0' ? 'engine-1' : 'engine-0';
  for (let number = 0; number < CONCURRENCY; number += 1) {
    const request = exampleRequest(`full-${number}`, { prefixDigests: ['a'], promptTokens: 4000 });
    harness.submitRequest(request, 4000);
    harness.timeline.runUntil(harness.timeline.now + 100);
  }
  assert.equal(inProgressAt(harness, cachedAt), CONCURRENCY);
  const request = exampleRequest('turn-2', { prefixDigests: ['a'], promptTokens: 4000 });
  const turn = harness.submitRequest(request, 20);
  assert.equal(inProgressAt(harness, other), 0);
  harness.timeline.runUntil(turn.arrivedAt + 700);
  assert.equal(inProgressAt(harness, other), 1);
  harness.timeline.runUntil(turn.arrivedAt + 5 * SECOND);
  assert.ok((turn.firstTokenAt ?? Infinity) - turn.arrivedAt <= 2000);
});

// Twelve sellers begin conversations that share one system prompt, and their answers are long. The
// engine that has computed the system prompt first does not get them all: what the shared prefix
// saves is less than a fuller batch costs, so a rush later finds all engines with work and caches.
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

// A fifth engine comes up in a rush. It gets a little work at once and its full share after ten
// seconds; callers of the rush are not all sent to an engine that is still warming up.
test('a new engine starts slowly', () => {
  const harness = makeHarness({ servers: 5, speed: slowAnswers });
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

// One engine computes prompts 25 times slower than its class says, in a rush that needs it. Its
// first slow answers lower its limit, so later callers are not kept waiting inside it, where no
// deadline is looked at; when it is well again it gets its share back.
test('the concurrency of a slow engine is lowered and comes back', () => {
  const harness = makeHarness();
  const slow = harness.engines.get('engine-1');
  assert.ok(slow);
  const usual = slow.speed;
  sendEvery(harness, 16, 60 * SECOND);
  harness.timeline.runUntil(5 * SECOND);
  slow.speed = { ...usual, prefillMillisecondsPerToken: 5 };
  harness.timeline.runUntil(20 * SECOND);
  const balance = harness.entries[0]?.backendServers.get('engine-1')?.balancing;
  assert.ok((balance?.limit ?? 0) < 0.5 * CONCURRENCY, `limit ${balance?.limit}`);
  slow.speed = usual;
  harness.timeline.runUntil(59 * SECOND);
  assert.ok((balance?.limit ?? 0) > 0.9 * CONCURRENCY, `limit ${balance?.limit}`);
});

// One of four engines is slow while the others have room. After its first slow answers callers go
// elsewhere; what is known of it fades, so once it is well it gets work again although nothing
// forced anyone to ask it.
test('a slow engine is passed over and then asked again', () => {
  const harness = makeHarness();
  const slow = harness.engines.get('engine-1');
  assert.ok(slow);
  const usual = slow.speed;
  sendEvery(harness, 40, 60 * SECOND);
  harness.timeline.runUntil(5 * SECOND);
  slow.speed = { ...usual, prefillMillisecondsPerToken: 5 };
  harness.timeline.runUntil(20 * SECOND);
  const late = [...harness.outcomes.values()].filter(
    ({ arrivedAt, firstTokenAt = 0 }) => firstTokenAt - arrivedAt > 400,
  );
  assert.ok(late.length <= 0.05 * 15 * 25, `${late.length} were slow`);
  slow.speed = usual;
  harness.timeline.runUntil(59 * SECOND);
  assert.ok(slow.running > 0);
});

// Two entries choose among a thousand engines with the same old reports. Two random choices keep
// the fullest engine near the mean, where one random choice would pile up several on one.
test('two choices keep a thousand engines even', () => {
  const harness = makeHarness({ servers: 1000 });
  for (let number = 0; number < 2000; number += 1) {
    harness.submitRequest(exampleRequest(`request-${number}`), 1000);
  }
  const loads = [...harness.engines.keys()].map((instance) => inProgressAt(harness, instance));
  assert.ok(Math.max(...loads) <= 4, `${Math.max(...loads)} on one engine`);
});

/** A notice that is in force in every test; one long past is not believed. */
const NEXT_CENTURY = Date.UTC(2100, 0, 1);

// A reclaim notice has come another way and only the flag on the server is set. The next choice
// must pass it over and take it out of the candidates, without waiting for the platform's list.
test('a server on notice gets no new work', () => {
  const harness = makeHarness({ servers: 20 });
  const [state] = harness.entries;
  assert.ok(state);
  for (let server = 0; server < 19; server += 1) {
    harness.send({ type: 'reclaimNoticed', instance: `engine-${server}`, goneAt: NEXT_CENTURY });
  }
  harness.submitRequest(exampleRequest('one'), 20);
  harness.timeline.runUntil(SECOND);
  assert.ok(harness.outcomes.get('one')?.finishedAt !== undefined);
  const [accepted] = state.requests.values();
  assert.equal(accepted && chooseBackendServer(state, accepted), undefined);
  assert.ok(getPool(harness).local.candidates.length < 20);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Allowance } from '@hornbeampond/schema';
import type { AttemptFailure, CallerRequest, EntryEventPayload } from '../entryEvents.js';
import type { EntryEffect } from '../entryEffects.js';
import { makeEntryState } from '../EntryState.js';
import { reduceEntry } from '../reduceEntry.js';
import { examplePool, exampleRequest, exampleRoute } from '../testing/index.js';

const KEY = 'a'.repeat(64);

const nonIdempotentRoute = { idempotent: false, claimed: false };

/** An entry with three backend servers, whose clock a test moves. */
function makeEntry(
  route: Record<string, unknown>,
  configured = true,
  incarnation = 1,
  allowance?: Allowance,
) {
  const state = makeEntryState({
    instance: 'entry-1',
    dataCentre: 'dc-a',
    incarnation,
    maxQueuedRequests: 100,
    usageWindow: 5000,
  });
  let now = 1000;
  const send = (event: EntryEventPayload): EntryEffect[] =>
    reduceEntry(state, { ...event, now, wallNow: 1_000_000 + now }).filter(
      ({ type }) => !['log', 'count', 'setGauge', 'observe', 'reportToEntries'].includes(type),
    );
  const advanceTime = (milliseconds: number) => {
    now += milliseconds;
    return send({ type: 'tick' });
  };
  const configure = () => {
    const pool = examplePool(8);
    const row = exampleRoute({ match: { host: 'shop.example', pathPrefix: '/' }, ...route });
    const configuration = {
      revision: 1,
      routes: { revision: 1, rows: [row] },
      pools: { revision: 1, rows: [pool] },
      whole: { version: 1, workspaces: [{ name: 'laden', keySha256: [KEY], allowance }] },
    };
    return send({ type: 'configurationReceived', configuration });
  };
  if (configured) configure();
  const instances = [1, 2, 3].map((number) => ({
    instance: `server-${number}`,
    dataCentre: 'dc-a',
    instanceClass: 'large',
    pool: 'engines',
    state: 'live' as const,
    host: '192.0.2.1',
    port: number,
  }));
  send({ type: 'instancesListed', instances });
  const submitRequest = (fields: Partial<CallerRequest> = {}) => {
    const request = { host: 'shop.example', keySha256: KEY, workspace: '', ...fields };
    return send({ type: 'requestArrived', request: exampleRequest('one', request) });
  };
  const failAttempt = (attempt: number, failure: AttemptFailure, sent: 'nothing' | 'maybe') =>
    send({
      type: 'attemptFailed',
      attemptId: `one.${attempt}`,
      failure,
      sent,
      tokens: 0,
      answerStarted: false,
    });
  return { state, send, pass: advanceTime, arrive: submitRequest, fail: failAttempt, configure };
}

/** Effects by type, with what a caller or a backend server sees of each. */
function describeEffects(effects: readonly EntryEffect[]): string[] {
  return effects.map((effect) => {
    if (effect.type === 'answerProblem') return `${effect.kind} ran ${effect.ran}`;
    if (effect.type === 'startAttempt') return `start for ${effect.workspace}`;
    return effect.type;
  });
}

test('a call is sent in the name of the workspace that holds its key', () => {
  assert.deepEqual(describeEffects(makeEntry(nonIdempotentRoute).arrive()), ['start for laden']);
});

test('a key that no workspace holds is refused, unless the route is public', () => {
  const unknownKey = { keySha256: 'b'.repeat(64) };
  assert.deepEqual(describeEffects(makeEntry(nonIdempotentRoute).arrive(unknownKey)), [
    'unauthorized ran undefined',
  ]);
  const open = makeEntry({ ...nonIdempotentRoute, public: true });
  assert.deepEqual(describeEffects(open.arrive(unknownKey)), ['start for ']);
});

test('a call to another host finds no route', () => {
  const found = makeEntry(nonIdempotentRoute).arrive({ host: 'other.example' });
  assert.deepEqual(describeEffects(found), ['routeNotFound ran undefined']);
});

// The caller of an entry that has just started is told to come back. It would take a 404 or 401 for
// its own fault and never try again, though every configuration allows the call.
test('an entry without a configuration promises that nothing ran', () => {
  const [refused] = makeEntry(nonIdempotentRoute, false).arrive();
  assert.ok(refused?.type === 'answerProblem');
  assert.equal(refused.kind, 'notConfigured');
  assert.ok((refused.retryAfterMilliseconds ?? 0) > 0);
});

/** An entry that has started 200 ms ago. */
const JUST_STARTED = 1_000_800;

// All power was lost; entries and stores start together, and the stores have yet to elect a leader.
// The caller has tried once, at the fault, and may not try again after a refusal. It is answered as
// soon as the configuration is there, and its deadline still counts from when it came.
test('a request that comes before the configuration is served once it is there', () => {
  const entry = makeEntry(nonIdempotentRoute, false, JUST_STARTED);
  assert.deepEqual(entry.arrive({ patience: 3000 }), []);
  assert.deepEqual(entry.pass(400), []);
  assert.deepEqual(
    describeEffects(entry.configure()).filter((type) => type !== 'configurationApplied'),
    ['start for laden'],
  );
  assert.equal(entry.state.requests.get('one')?.wholeAnswerDueAt, 1000 + 3000);
});

// The entry is cut off from the stores, and no configuration comes. Its callers are told to come
// back after a bounded wait, and at once when the entry is no longer starting.
test('a request is not kept for longer than a configuration takes to come', () => {
  const entry = makeEntry(nonIdempotentRoute, false, JUST_STARTED);
  entry.arrive({ patience: 3000 });
  assert.deepEqual(describeEffects(entry.pass(699)), []);
  assert.deepEqual(describeEffects(entry.pass(1)), ['notConfigured ran undefined']);
  entry.pass(1200);
  assert.deepEqual(describeEffects(entry.arrive()), ['notConfigured ran undefined']);
});

// A caller with little patience is told early, while it still has the time to go elsewhere; one that
// leaves is forgotten, and an entry that shuts down keeps nobody.
test('who waits for the configuration is bounded by the caller and by a shutdown', () => {
  const impatient = makeEntry(nonIdempotentRoute, false, JUST_STARTED);
  impatient.arrive({ patience: 300 });
  assert.deepEqual(describeEffects(impatient.pass(100)), ['notConfigured ran undefined']);
  const disconnected = makeEntry(nonIdempotentRoute, false, JUST_STARTED);
  disconnected.arrive();
  disconnected.send({ type: 'callerGone', requestId: 'one' });
  assert.deepEqual(describeEffects(disconnected.pass(700)), []);
  const stopping = makeEntry(nonIdempotentRoute, false, JUST_STARTED);
  stopping.arrive();
  stopping.send({ type: 'shutdownStarted', acceptUntil: 1000, endAt: 9000 });
  assert.ok(describeEffects(stopping.pass(50)).some((text) => text.startsWith('notConfigured')));
});

// One workspace sends many times what it may, and is refused beyond that however large the fleet is.
// Counted as demand, its flood would have engines bought that nobody may use.
test('what is beyond an allowance is no demand', () => {
  const allowance: Allowance = {
    unit: 'requests',
    perSecond: 0.1,
    burst: 1,
    windowMilliseconds: 10_000,
    tolerated: 0,
    plainTokens: 0,
  };
  const entry = makeEntry(nonIdempotentRoute, true, 1, allowance);
  const refused = Array.from({ length: 40 }, () => entry.arrive())
    .flat()
    .filter((effect) => effect.type === 'answerProblem');
  entry.pass(1000);
  const rates = [...entry.state.demand.read(2000).values()];
  assert.ok(refused.length >= 30, `${refused.length}`);
  assert.ok(
    rates.every(({ requestsPerSecond }) => requestsPerSecond * 10 <= 40 - refused.length),
    `${rates}`,
  );
});

// A full backend server says that it did not run the call. The caller of a purchase gets its answer
// from the next one; no second purchase can come of it.
test('a call that surely did not run is sent to another backend server', () => {
  const entry = makeEntry(nonIdempotentRoute);
  entry.arrive();
  assert.deepEqual(entry.fail(1, 'busy', 'nothing'), []);
  const [retry] = entry.pass(1000).filter(({ type }) => type === 'startAttempt');
  assert.ok(retry?.type === 'startAttempt');
  assert.equal(retry.attemptId, 'one.2');
});

// The connection is lost while a purchase is at a backend server. It may have been made: the caller
// is told so at once, and nothing is sent a second time.
test('a call that may have run is not sent again', () => {
  const entry = makeEntry(nonIdempotentRoute);
  entry.arrive();
  const ended = describeEffects(entry.fail(1, 'connectionLost', 'maybe'));
  assert.ok(ended.includes('backendServerFailed ran unknown'), ended.join());
  assert.equal(entry.state.requests.size, 0);
});

test('a route’s bound on backend servers for one call holds', () => {
  const entry = makeEntry({ mostAttempts: 2 });
  entry.arrive();
  entry.fail(1, 'busy', 'nothing');
  entry.pass(1000);
  assert.deepEqual(describeEffects(entry.fail(2, 'busy', 'nothing')), [
    'backendServerFailed ran no',
  ]);
});

// A caller closes its connection. Backend servers would go on working for nobody; an outcome that is
// kept nowhere need not be learnt.
test('a call without a claim is cancelled with its caller', () => {
  const entry = makeEntry(nonIdempotentRoute);
  entry.arrive();
  assert.deepEqual(describeEffects(entry.send({ type: 'callerGone', requestId: 'one' })), [
    'cancelAttempt',
  ]);
});

test('the caller’s patience bounds the time that is handed on', () => {
  const [start] = makeEntry(nonIdempotentRoute).arrive({ patience: 700 });
  assert.ok(start?.type === 'startAttempt');
  assert.equal(start.timeLeft, 700);
});

test('calls are split among pools by weight', () => {
  const split = [
    { pool: 'engines', weight: 9 },
    { pool: 'elsewhere', weight: 1 },
  ];
  const entry = makeEntry({ ...nonIdempotentRoute, split });
  const sent = Array.from({ length: 400 }, () => {
    const effects = describeEffects(entry.arrive());
    entry.send({ type: 'callerGone', requestId: 'one' });
    return effects.includes('start for laden');
  }).filter((started) => started).length;
  assert.ok(sent > 330 && sent < 390, String(sent));
});

test('what begins to run is counted in its window', () => {
  const entry = makeEntry(nonIdempotentRoute);
  entry.arrive();
  entry.send({ type: 'firstTokenReceived', attemptId: 'one.1' });
  entry.send({ type: 'firstTokenReceived', attemptId: 'one.1' });
  assert.deepEqual(Object.values(entry.state.usage.read()), [{ laden: 1 }]);
});

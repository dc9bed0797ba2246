import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Allowance } from '@hornbeampond/schema';
import type { AttemptFailure, CallerRequest, EntryEventPayload } from '../entryEvents.js';
import type { EntryEffect } from '../entryEffects.js';
import { makeEntryState } from '../EntryState.js';
import { reduceEntry } from '../reduceEntry.js';
import { examplePool, exampleRequest, exampleRoute } from '../testing/index.js';

const KEY_SHA256 = 'a'.repeat(64);

const nonIdempotentRoute = { idempotent: false, claimed: false };

/** Makes an entry with three backend servers and a manual clock. */
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
      whole: { version: 1, workspaces: [{ name: 'laden', keySha256: [KEY_SHA256], allowance }] },
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
    const request = { host: 'shop.example', keySha256: KEY_SHA256, workspace: '', ...fields };
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
  return { state, send, advanceTime, submitRequest, failAttempt, configure };
}

/** Describes each effect by its type and the fields that a caller or a backend server sees. */
function describeEffects(effects: readonly EntryEffect[]): string[] {
  return effects.map((effect) => {
    if (effect.type === 'answerProblem') return `${effect.kind} ran ${effect.ran}`;
    if (effect.type === 'startAttempt') return `start for ${effect.workspace}`;
    return effect.type;
  });
}

test('a call is attributed to the workspace that owns its key', () => {
  assert.deepEqual(describeEffects(makeEntry(nonIdempotentRoute).submitRequest()), [
    'start for laden',
  ]);
});

test('a key that no workspace owns is refused, unless the route is public', () => {
  const unknownKey = { keySha256: 'b'.repeat(64) };
  assert.deepEqual(describeEffects(makeEntry(nonIdempotentRoute).submitRequest(unknownKey)), [
    'unauthorized ran undefined',
  ]);
  const publicEntry = makeEntry({ ...nonIdempotentRoute, public: true });
  assert.deepEqual(describeEffects(publicEntry.submitRequest(unknownKey)), ['start for ']);
});

test('a call to an unknown host is refused as having no route', () => {
  const effects = makeEntry(nonIdempotentRoute).submitRequest({ host: 'other.example' });
  assert.deepEqual(describeEffects(effects), ['routeNotFound ran undefined']);
});

// A 404 or 401 would stop callers from retrying calls that the configuration, once loaded, allows.
test('an entry without a configuration asks callers to retry', () => {
  const [refused] = makeEntry(nonIdempotentRoute, false).submitRequest();
  assert.ok(refused?.type === 'answerProblem');
  assert.equal(refused.kind, 'notConfigured');
  assert.ok((refused.retryAfterMilliseconds ?? 0) > 0);
});

/** `incarnation` of an entry that started 200 ms before the test begins. */
const RECENT_INCARNATION = 1_000_800;

// After a power loss, entries accept requests before the stores have elected a leader. The deadline
// still counts from the arrival of the request.
test('a request that arrives before the configuration is served once it is loaded', () => {
  const entry = makeEntry(nonIdempotentRoute, false, RECENT_INCARNATION);
  assert.deepEqual(entry.submitRequest({ patience: 3000 }), []);
  assert.deepEqual(entry.advanceTime(400), []);
  assert.deepEqual(
    describeEffects(entry.configure()).filter((type) => type !== 'configurationApplied'),
    ['start for laden'],
  );
  assert.equal(entry.state.requests.get('one')?.wholeAnswerDueAt, 1000 + 3000);
});

// If the stores are unreachable, callers are refused after a limited wait, and immediately once the
// entry is no longer starting.
test('a request waits only a limited time for the configuration', () => {
  const entry = makeEntry(nonIdempotentRoute, false, RECENT_INCARNATION);
  entry.submitRequest({ patience: 3000 });
  assert.deepEqual(describeEffects(entry.advanceTime(699)), []);
  assert.deepEqual(describeEffects(entry.advanceTime(1)), ['notConfigured ran undefined']);
  entry.advanceTime(1200);
  assert.deepEqual(describeEffects(entry.submitRequest()), ['notConfigured ran undefined']);
});

// A caller with a short deadline is refused early enough to try elsewhere; a disconnected caller
// gets no answer, and a shutdown refuses all that wait.
test('a short deadline, a disconnect or a shutdown ends the wait for the configuration', () => {
  const impatient = makeEntry(nonIdempotentRoute, false, RECENT_INCARNATION);
  impatient.submitRequest({ patience: 300 });
  assert.deepEqual(describeEffects(impatient.advanceTime(100)), ['notConfigured ran undefined']);
  const disconnected = makeEntry(nonIdempotentRoute, false, RECENT_INCARNATION);
  disconnected.submitRequest();
  disconnected.send({ type: 'callerGone', requestId: 'one' });
  assert.deepEqual(describeEffects(disconnected.advanceTime(700)), []);
  const stopping = makeEntry(nonIdempotentRoute, false, RECENT_INCARNATION);
  stopping.submitRequest();
  stopping.send({ type: 'shutdownStarted', acceptUntil: 1000, endAt: 9000 });
  assert.ok(
    describeEffects(stopping.advanceTime(50)).some((text) => text.startsWith('notConfigured')),
  );
});

// Requests beyond the allowance are refused however large the fleet is, so counting them would
// order instances that no request could use.
test('requests beyond an allowance are not counted as demand', () => {
  const allowance: Allowance = {
    unit: 'requests',
    perSecond: 0.1,
    burst: 1,
    windowMilliseconds: 10_000,
    tolerated: 0,
    plainTokens: 0,
  };
  const entry = makeEntry(nonIdempotentRoute, true, 1, allowance);
  const refused = Array.from({ length: 40 }, () => entry.submitRequest())
    .flat()
    .filter((effect) => effect.type === 'answerProblem');
  entry.advanceTime(1000);
  const rates = [...entry.state.demand.read(2000).values()];
  assert.ok(refused.length >= 30, `${refused.length}`);
  assert.ok(
    rates.every(({ requestsPerSecond }) => requestsPerSecond * 10 <= 40 - refused.length),
    `${rates}`,
  );
});

// A busy backend server rejects the call without running it, so a retry cannot run it twice.
test('a non-idempotent call that certainly did not run is retried elsewhere', () => {
  const entry = makeEntry(nonIdempotentRoute);
  entry.submitRequest();
  assert.deepEqual(entry.failAttempt(1, 'busy', 'nothing'), []);
  const [retry] = entry.advanceTime(1000).filter(({ type }) => type === 'startAttempt');
  assert.ok(retry?.type === 'startAttempt');
  assert.equal(retry.attemptId, 'one.2');
});

// The connection was lost after the call was sent, so a retry could run it twice.
test('a non-idempotent call that may have run is not retried', () => {
  const entry = makeEntry(nonIdempotentRoute);
  entry.submitRequest();
  const effects = describeEffects(entry.failAttempt(1, 'connectionLost', 'maybe'));
  assert.ok(effects.includes('backendServerFailed ran unknown'), effects.join());
  assert.equal(entry.state.requests.size, 0);
});

test('the maximum number of attempts of a route is enforced', () => {
  const entry = makeEntry({ mostAttempts: 2 });
  entry.submitRequest();
  entry.failAttempt(1, 'busy', 'nothing');
  entry.advanceTime(1000);
  assert.deepEqual(describeEffects(entry.failAttempt(2, 'busy', 'nothing')), [
    'backendServerFailed ran no',
  ]);
});

// Without a claim there is no outcome to record, so the backend server can stop working.
test('a call without a claim is cancelled when its caller disconnects', () => {
  const entry = makeEntry(nonIdempotentRoute);
  entry.submitRequest();
  assert.deepEqual(describeEffects(entry.send({ type: 'callerGone', requestId: 'one' })), [
    'cancelAttempt',
  ]);
});

test('the time that an attempt may take is limited by the caller’s patience', () => {
  const [start] = makeEntry(nonIdempotentRoute).submitRequest({ patience: 700 });
  assert.ok(start?.type === 'startAttempt');
  assert.equal(start.timeLeft, 700);
});

test('calls are split between pools by weight', () => {
  const split = [
    { pool: 'engines', weight: 9 },
    { pool: 'elsewhere', weight: 1 },
  ];
  const entry = makeEntry({ ...nonIdempotentRoute, split });
  const startedCount = Array.from({ length: 400 }, () => {
    const effects = describeEffects(entry.submitRequest());
    entry.send({ type: 'callerGone', requestId: 'one' });
    return effects.includes('start for laden');
  }).filter((started) => started).length;
  assert.ok(startedCount > 330 && startedCount < 390, String(startedCount));
});

test('each request that begins to be answered is counted once in the usage window', () => {
  const entry = makeEntry(nonIdempotentRoute);
  entry.submitRequest();
  entry.send({ type: 'firstTokenReceived', attemptId: 'one.1' });
  entry.send({ type: 'firstTokenReceived', attemptId: 'one.1' });
  assert.deepEqual(Object.values(entry.state.usage.read()), [{ laden: 1 }]);
});

// Guards against usage reports that are too low while backend servers answer with failures: such an
// answer shows that the request has run. One that was refused or not sent has not.
test('a request that fails at backend servers is counted once in the usage window', () => {
  const entry = makeEntry({ mostAttempts: 3 });
  entry.submitRequest();
  entry.failAttempt(1, 'busy', 'nothing');
  entry.advanceTime(1000);
  assert.deepEqual(Object.values(entry.state.usage.read()), []);
  entry.failAttempt(2, 'serverError', 'maybe');
  entry.advanceTime(1000);
  entry.failAttempt(3, 'serverError', 'maybe');
  assert.deepEqual(Object.values(entry.state.usage.read()), [{ laden: 1 }]);
});

// Guards against a call that is taken as not run while log and metrics do not say by which proof.
test('log and metrics of a failed attempt have the answer and the proof', () => {
  const { state, submitRequest } = makeEntry(nonIdempotentRoute);
  submitRequest();
  const response = { status: 503, isDeclined: true, namedCall: 'thisCall' } as const;
  const effects = reduceEntry(state, {
    type: 'attemptFailed',
    attemptId: 'one.1',
    failure: 'busy',
    sent: 'nothing',
    proof: 'declined',
    response,
    tokens: 0,
    answerStarted: false,
    now: 1000,
    wallNow: 1_001_000,
  });
  const logged = effects.find(({ type }) => type === 'log');
  assert.ok(logged?.type === 'log' && logged.event === 'attemptFailed');
  const { proof, status, isDeclined, namedCall } = logged.fields;
  assert.deepEqual({ proof, status, isDeclined, namedCall }, { proof: 'declined', ...response });
  const counted = effects.flatMap((effect) =>
    effect.type === 'count' ? [`${effect.metric} ${effect.label}`] : [],
  );
  assert.ok(counted.includes('attemptsNotRun declined'), counted.join());
  assert.ok(counted.includes('failedAnswers 503'), counted.join());
});

// Guards against a call that is sent again, or whose caller is told that it did not run, although its first
// attempt has already answered in part.
test('after the first token, no failure shows that a call did not run', () => {
  for (const type of ['firstTokenReceived', 'attemptProgressed', 'answerClaimed'] as const) {
    const { send, submitRequest, failAttempt } = makeEntry(nonIdempotentRoute);
    submitRequest();
    send({ type, attemptId: 'one.1', tokens: 1 });
    const effects = failAttempt(1, 'busy', 'nothing');
    assert.deepEqual(describeEffects(effects), ['backendServerFailed ran unknown'], type);
  }
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { EngineSpeed } from '@hornbeampond/testing';
import { EntryHarness, type CallerOutcome, type HarnessOptions } from '../testing/EntryHarness.js';
import {
  examplePool,
  exampleRequest,
  exampleRoute,
  makeDeadlineFields,
} from '../testing/examples.js';

const CONCURRENCY = 8;

/** An answer of 40 tokens takes 0.5 s alone and 1.2 s in a full batch. */
const speed: EngineSpeed = {
  concurrency: CONCURRENCY,
  prefillMillisecondsPerToken: 0.2,
  decodeMillisecondsPerToken: 10,
  cachedPrefixes: 100,
};
const ANSWER_TOKENS = 40;

function makeHarness(options: Partial<HarnessOptions> = {}): EntryHarness {
  return new EntryHarness({
    servers: 4,
    speed,
    routes: [exampleRoute(makeDeadlineFields(1000))],
    pool: examplePool(CONCURRENCY),
    loadReportInterval: 1000,
    reportInterval: 500,
    ...options,
  });
}

/** Sends requests of a workspace at a mean rate, at seeded random times. */
function sendSteadily(
  harness: EntryHarness,
  workspace: string,
  perSecond: number,
  [from, to]: readonly [number, number],
): void {
  const random = xoroshiro128plus(workspace.length + perSecond);
  const count = Math.round(((to - from) / 1000) * perSecond);
  for (let number = 0; number < count; number += 1) {
    const request = exampleRequest(`${workspace}-${from}-${number}`, { workspace });
    const entry = number % harness.entries.length;
    const at = uniformInt(random, from, to - 1);
    harness.timeline.after(at - harness.timeline.now, () => {
      harness.submitRequest(request, ANSWER_TOKENS, entry);
    });
  }
}

/** The outcomes of one workspace; `exampleRequest` uses `kartenwerk-a` if none is given. */
function outcomesOf(harness: EntryHarness, workspace: string): CallerOutcome[] {
  return [...harness.outcomes.values()].filter(({ request }) => request.workspace === workspace);
}

function isOnTime({ arrivedAt, firstTokenAt, problem }: CallerOutcome): boolean {
  return problem === undefined && firstTokenAt !== undefined && firstTokenAt - arrivedAt <= 1000;
}

function fractionOf(outcomes: readonly CallerOutcome[], is: (outcome: CallerOutcome) => boolean) {
  return outcomes.filter(is).length / outcomes.length;
}

function excludeNeverSent(outcomes: readonly CallerOutcome[]): CallerOutcome[] {
  return outcomes.filter(({ problem }) => problem?.ran !== 'no');
}

// Overload before the first load report arrives: entries must rely on their own counts and on the
// first slow answers, and refuse the rest immediately.
test('without load reports, only requests that can be in time are admitted', () => {
  const harness = makeHarness({ servers: 6, entries: 2, loadReportInterval: 5000 });
  sendSteadily(harness, 'kartenwerk-a', 60, [0, 10_000]);
  let longestEngineQueue = 0;
  harness.timeline.every(100, () => {
    const queues = [...harness.engines.values()].map((engine) => engine.queued);
    longestEngineQueue = Math.max(longestEngineQueue, ...queues);
  });
  harness.timeline.runUntil(20_000);
  const all = outcomesOf(harness, 'kartenwerk-a');
  const sent = excludeNeverSent(all);
  assert.ok(fractionOf(sent, isOnTime) >= 0.95, `${fractionOf(sent, isOnTime)} in time`);
  assert.ok(sent.length >= 0.55 * all.length, `${sent.length} of ${all.length} sent`);
  assert.ok(longestEngineQueue <= CONCURRENCY, `${longestEngineQueue} wait in one engine`);
  const failed = all.filter(({ problem }) => problem !== undefined);
  assert.ok(failed.every(({ arrivedAt, problem }) => (problem?.at ?? 0) - arrivedAt <= 1050));
});

// One workspace sends four times what the engines can serve; a second workspace sends one request
// per second. Requests of the second must not be refused or late because of the first.
test('a workspace that floods does not starve a small one', () => {
  const harness = makeHarness({ maxQueuedRequests: 60 });
  sendSteadily(harness, 'flood', 100, [0, 20_000]);
  sendSteadily(harness, 'small', 1, [2000, 20_000]);
  harness.timeline.runUntil(30_000);
  const small = outcomesOf(harness, 'small');
  assert.ok(fractionOf(small, isOnTime) === 1, `small: ${fractionOf(small, isOnTime)} in time`);
  const flood = outcomesOf(harness, 'flood');
  assert.ok(fractionOf(excludeNeverSent(flood), isOnTime) >= 0.95);
  assert.ok(flood.filter(isOnTime).length >= 18 * 20, `${flood.filter(isOnTime).length} served`);
});

// The deadlines are too long to limit the queue. A workspace that sends too much may fill only two
// thirds of it, and a request of another workspace must be served before most of its requests.
test('one workspace cannot fill the queue', () => {
  const harness = makeHarness({
    servers: 1,
    maxQueuedRequests: 60,
    routes: [
      exampleRoute({
        name: 'patient',
        match: { pathPrefix: '/v1' },
        ...makeDeadlineFields(60_000),
      }),
    ],
  });
  for (let number = 0; number < 200; number += 1) {
    const request = exampleRequest(`flood-${number}`, { workspace: 'flood' });
    harness.submitRequest(request, ANSWER_TOKENS);
  }
  const refused = outcomesOf(harness, 'flood').filter(({ problem }) => problem !== undefined);
  assert.ok(refused.every(({ problem }) => problem?.kind === 'overloaded'));
  assert.ok(refused.every(({ problem }) => (problem?.retryAfterMilliseconds ?? 0) > 0));
  assert.equal(refused.length, 200 - CONCURRENCY - 40);
  const small = harness.submitRequest(exampleRequest('one', { workspace: 'small' }), ANSWER_TOKENS);
  harness.timeline.runUntil(60_000);
  assert.ok((small.firstTokenAt ?? Infinity) <= 3000, JSON.stringify(small));
});

// Four entries receive a burst before any load report shows the others' work. Each must assume that
// the others have sent as much as itself, or the engine would be overloaded fourfold.
test('entries leave capacity for what other entries send at the same time', () => {
  const harness = makeHarness({ servers: 1, entries: 4 });
  harness.timeline.runUntil(3000);
  for (let number = 0; number < 4 * CONCURRENCY; number += 1) {
    harness.submitRequest(exampleRequest(`burst-${number}`), ANSWER_TOKENS, number % 4);
    harness.timeline.runUntil(harness.timeline.now + 5);
  }
  const engine = harness.engines.get('engine-0');
  const sent = (engine?.running ?? 0) + (engine?.queued ?? 0);
  assert.ok(sent <= CONCURRENCY + 4, `${sent} sent to an engine of ${CONCURRENCY}`);
  assert.ok(sent >= CONCURRENCY - 4, `only ${sent} sent`);
});

// A Retry-After that is too short would get the caller refused again; one that is too long would
// make it wait for nothing.
test('a caller that is refused for a long queue is admitted after its Retry-After', () => {
  const harness = makeHarness();
  harness.timeline.runUntil(100);
  sendSteadily(harness, 'warm-up', 10, [100, 5000]);
  harness.timeline.runUntil(6000);
  for (let number = 0; number < 100; number += 1) {
    harness.submitRequest(exampleRequest(`burst-${number}`), ANSWER_TOKENS);
  }
  const refused = harness.submitRequest(exampleRequest('first-try'), ANSWER_TOKENS);
  const { problem } = refused;
  assert.equal(problem?.kind, 'deadlineUnreachable');
  assert.equal(problem.ran, 'no');
  assert.equal(problem.at, refused.arrivedAt);
  const wait = problem.retryAfterMilliseconds ?? 0;
  assert.ok(wait > 0 && wait < 10_000, `asked to retry in ${wait} ms`);
  harness.timeline.runUntil(6000 + wait);
  const again = harness.submitRequest(exampleRequest('second-try'), ANSWER_TOKENS);
  harness.timeline.runUntil(30_000);
  assert.ok(isOnTime(again), JSON.stringify(again));
});

// Many callers arrive together after a quiet period with fast answers. If refused callers were all
// given the same time, or if waits were predicted from answers in small batches, most retries would
// be refused again or be late.
test('refused callers are admitted when they retry at their assigned time', () => {
  const harness = makeHarness();
  sendSteadily(harness, 'quiet', 10, [0, 5000]);
  harness.timeline.runUntil(6000);
  let retries = 0;
  let refusedRetries = 0;
  const trySending = (caller: number, attempt: number) => {
    const request = exampleRequest(`caller-${caller}-${attempt}`);
    const { problem } = harness.submitRequest(request, ANSWER_TOKENS);
    if (attempt > 0) retries += 1;
    if (problem === undefined) return;
    if (attempt > 0) refusedRetries += 1;
    harness.timeline.after(problem.retryAfterMilliseconds ?? 0, () =>
      trySending(caller, attempt + 1),
    );
  };
  for (let caller = 0; caller < 300; caller += 1) trySending(caller, 0);
  harness.timeline.runUntil(60_000);
  assert.ok(refusedRetries <= 0.1 * retries, `${refusedRetries} of ${retries} refused again`);
  const served = outcomesOf(harness, 'kartenwerk-a').filter(isOnTime);
  assert.ok(served.length >= 0.95 * 300, `${served.length} of 300 in time`);
});

// One of two engines disappears while requests are queued. Requests that can no longer be in time
// must be ended on one of the next two ticks, and the problem must say that they did not run.
test('a queued request whose deadline becomes unreachable is ended immediately', () => {
  const harness = makeHarness({ servers: 2, routes: [exampleRoute(makeDeadlineFields(1500))] });
  sendSteadily(harness, 'warm-up', 8, [100, 4000]);
  harness.timeline.runUntil(6000);
  for (let number = 0; number < 80; number += 1) {
    harness.submitRequest(exampleRequest(`burst-${number}`), ANSWER_TOKENS);
  }
  const before = excludeNeverSent(outcomesOf(harness, 'kartenwerk-a')).length;
  harness.listEngines(1);
  harness.timeline.runUntil(6110);
  const admitted = outcomesOf(harness, 'kartenwerk-a').filter(
    ({ problem }) => problem?.at !== 6000,
  );
  const failed = admitted.filter(({ problem }) => problem !== undefined);
  assert.ok(failed.length > 0, `none of ${before} was ended`);
  for (const { problem, arrivedAt } of failed) {
    assert.equal(problem?.kind, 'deadlineUnreachable');
    assert.equal(problem.ran, 'no');
    assert.ok(problem.at - arrivedAt <= 700);
  }
});

// A request with a short deadline arrives after queued requests with long ones. It must be served
// first, and the others must still finish.
test('the earliest deadline is served first', () => {
  const routes = [
    exampleRoute({
      name: 'patient',
      match: { pathPrefix: '/patient' },
      ...makeDeadlineFields(60_000),
    }),
    exampleRoute({ name: 'urgent', match: { pathPrefix: '/urgent' }, ...makeDeadlineFields(4000) }),
  ];
  const harness = makeHarness({ servers: 1, routes });
  const patient = Array.from({ length: 16 }, (_, number) =>
    harness.submitRequest(exampleRequest(`patient-${number}`, { path: '/patient' }), ANSWER_TOKENS),
  );
  const urgent = harness.submitRequest(
    exampleRequest('urgent', { path: '/urgent' }),
    ANSWER_TOKENS,
  );
  harness.timeline.runUntil(60_000);
  const waited = patient.slice(CONCURRENCY);
  assert.ok(
    waited.every((request) => (request.firstTokenAt ?? 0) > (urgent.firstTokenAt ?? Infinity)),
  );
  assert.ok(patient.every((request) => request.finishedAt !== undefined));
});

// The engine has slots for ten long prompts but prefills one after the other. Most of them must
// stay in the entry's queue, where a short prompt with an earlier deadline can overtake them.
test('long prompts do not queue inside an engine', () => {
  const routes = [
    exampleRoute({
      name: 'patient',
      match: { pathPrefix: '/patient' },
      ...makeDeadlineFields(60_000),
    }),
    exampleRoute({ name: 'urgent', match: { pathPrefix: '/urgent' }, ...makeDeadlineFields(1500) }),
  ];
  const harness = makeHarness({ servers: 1, routes, speed: { ...speed, concurrency: 16 } });
  for (let number = 0; number < 10; number += 1) {
    const request = exampleRequest(`patient-${number}`, { path: '/patient', promptTokens: 2000 });
    harness.submitRequest(request, ANSWER_TOKENS);
  }
  harness.timeline.runUntil(10);
  const urgent = harness.submitRequest(
    exampleRequest('urgent', { path: '/urgent' }),
    ANSWER_TOKENS,
  );
  harness.timeline.runUntil(30_000);
  assert.equal(urgent.problem, undefined);
  assert.ok((urgent.firstTokenAt ?? Infinity) - urgent.arrivedAt <= 1500);
  assert.ok([...harness.outcomes.values()].every(({ finishedAt }) => finishedAt !== undefined));
});

// The queued request must not wait for the next tick.
test('a queued request is started immediately when an attempt ends', () => {
  const harness = makeHarness({
    servers: 1,
    speed: { ...speed, concurrency: 1 },
    pool: examplePool(1),
    routes: [exampleRoute(makeDeadlineFields(5000))],
  });
  harness.timeline.runUntil(7);
  const first = harness.submitRequest(exampleRequest('first'), ANSWER_TOKENS);
  const second = harness.submitRequest(exampleRequest('second'), ANSWER_TOKENS);
  harness.timeline.runUntil(5000);
  const prefillAndNetwork = 21;
  assert.equal((second.firstTokenAt ?? 0) - (first.finishedAt ?? 0), prefillAndNetwork);
});

// A limit of two requests in progress must refuse a third, and admit others once requests have
// ended.
test('a limit refuses requests above it and admits them again after others end', () => {
  const routes = [exampleRoute({ limits: { inProgressPerWorkspace: 2 } })];
  const harness = makeHarness({ routes });
  const tries = ['one', 'two', 'three'].map((id) => harness.submitRequest(exampleRequest(id), 40));
  assert.deepEqual(
    tries.map(({ problem }) => problem?.kind),
    [undefined, undefined, 'limitReached'],
  );
  harness.timeline.runUntil(tries[2]?.problem?.retryAfterMilliseconds ?? 0);
  harness.timeline.runUntil(2000);
  assert.equal(harness.submitRequest(exampleRequest('four'), 40).problem, undefined);
  harness.send({ type: 'callerGone', requestId: 'four' });
  harness.submitRequest(exampleRequest('five'), 40);
  assert.equal(harness.submitRequest(exampleRequest('six'), 40).problem, undefined);
});

// The remote engine must get nothing while the local one has capacity, and must get requests that
// could not be in time locally.
test('other data centres are used only when the local one cannot be in time', () => {
  const harness = makeHarness({
    servers: 2,
    dataCentreOf: (server) => (server === 0 ? 'dc-a' : 'dc-b'),
  });
  for (let number = 0; number < CONCURRENCY; number += 1) {
    harness.submitRequest(exampleRequest(`long-${number}`), 1000);
  }
  harness.timeline.runUntil(500);
  assert.equal(harness.engines.get('engine-1')?.running, 0);
  for (let number = 0; number < CONCURRENCY; number += 1) {
    harness.submitRequest(exampleRequest(`urgent-${number}`), ANSWER_TOKENS);
  }
  harness.timeline.runUntil(1500);
  const outcomes = [...harness.outcomes.values()];
  assert.ok(
    outcomes.every(isOnTime),
    JSON.stringify(outcomes.filter((one) => !isOnTime(one)).slice(0, 3)),
  );
  assert.equal(harness.engines.get('engine-0')?.running, CONCURRENCY);
});

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
  firstTokenWithin,
} from '../testing/examples.js';

const CONCURRENCY = 8;

/** One request of 40 tokens takes 0.4 s alone and 1.2 s in a full batch. */
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
    routes: [exampleRoute(firstTokenWithin(1000))],
    pool: examplePool(CONCURRENCY),
    loadLag: 1000,
    reportInterval: 500,
    ...options,
  });
}

/** Has a workspace send so many requests a second for a while, at seeded random times. */
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

function outcomesOf(harness: EntryHarness, workspace: string): CallerOutcome[] {
  return [...harness.outcomes.values()].filter(({ request }) => request.workspace === workspace);
}

function isOnTime({ arrivedAt, firstTokenAt, problem }: CallerOutcome): boolean {
  return problem === undefined && firstTokenAt !== undefined && firstTokenAt - arrivedAt <= 1000;
}

function fractionOf(outcomes: readonly CallerOutcome[], is: (outcome: CallerOutcome) => boolean) {
  return outcomes.filter(is).length / outcomes.length;
}

function excludeRefused(outcomes: readonly CallerOutcome[]): CallerOutcome[] {
  return outcomes.filter(({ problem }) => problem?.ran !== 'no');
}

// The counters rush at once while every load report is five seconds old and shows idle engines.
// Two entries send for ten seconds at 1.5 times what six engines can do. Who is accepted gets the
// first token in time, because each entry counts what it has sent itself and lowers an engine's
// limit at the first slow answer; the rest is told at once, truthfully, that it was not run.
test('with load reports 5 s old, a rush is admitted only as far as it can be in time', () => {
  const harness = makeHarness({ servers: 6, entries: 2, loadLag: 5000 });
  sendSteadily(harness, 'kartenwerk-a', 60, [0, 10_000]);
  let longestEngineQueue = 0;
  harness.timeline.every(100, () => {
    const queues = [...harness.engines.values()].map((engine) => engine.queued);
    longestEngineQueue = Math.max(longestEngineQueue, ...queues);
  });
  harness.timeline.runUntil(20_000);
  const all = outcomesOf(harness, 'kartenwerk-a');
  const admitted = excludeRefused(all);
  assert.ok(fractionOf(admitted, isOnTime) >= 0.95, `${fractionOf(admitted, isOnTime)} in time`);
  assert.ok(admitted.length >= 0.55 * all.length, `${admitted.length} of ${all.length} admitted`);
  assert.ok(longestEngineQueue <= CONCURRENCY, `${longestEngineQueue} wait in one engine`);
  const refused = all.filter(({ problem }) => problem !== undefined);
  assert.ok(refused.every(({ arrivedAt, problem }) => (problem?.at ?? 0) - arrivedAt <= 1050));
});

// One large workspace sends four times what the engines can do, a small one a request a second.
// Every caller of the small one gets its first token in time: the large one's own queue grows, is
// refused at its share, and a place that comes free goes to who has had less.
test('a workspace that floods does not starve a small one', () => {
  const harness = makeHarness({ queuedRequests: 60 });
  sendSteadily(harness, 'flood', 100, [0, 20_000]);
  sendSteadily(harness, 'small', 1, [2000, 20_000]);
  harness.timeline.runUntil(30_000);
  const small = outcomesOf(harness, 'small');
  assert.ok(fractionOf(small, isOnTime) === 1, `small: ${fractionOf(small, isOnTime)} in time`);
  const flood = outcomesOf(harness, 'flood');
  assert.ok(fractionOf(excludeRefused(flood), isOnTime) >= 0.95);
  assert.ok(flood.filter(isOnTime).length >= 18 * 20, `${flood.filter(isOnTime).length} served`);
});

// A patient workspace sends two hundred requests at once to a queue of sixty, which no deadline
// keeps short. Its callers fill two thirds and the rest are refused; a caller of another workspace
// still finds a place, is served before most of those, and is in time.
test('one workspace cannot fill the queue', () => {
  const harness = makeHarness({
    servers: 1,
    queuedRequests: 60,
    routes: [
      exampleRoute({ name: 'patient', match: { pathPrefix: '/v1' }, ...firstTokenWithin(60_000) }),
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

// Four entries get the same burst within one moment, and no load report tells them of each other's
// work yet. They know of each other, though, and take it that the others have sent as much as they
// have: the one engine gets about what it can run, and the rest waits where deadlines and fair
// shares hold.
test('entries leave room for what the others have sent meanwhile', () => {
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

// A burst fills the queue until the next caller's predicted wait is above its patience. It is
// refused at once, with `ran: no` and a time. It comes back at that very time, as no one else
// does, and gets its first token in time: the time was honest, neither early nor far too late.
test('a caller that is refused for a long queue is admitted after its Retry-After', () => {
  const harness = makeHarness();
  harness.timeline.runUntil(100);
  sendSteadily(harness, 'teacher', 10, [100, 5000]);
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
  assert.ok(wait > 0 && wait < 10_000, `asked to come back in ${wait} ms`);
  harness.timeline.runUntil(6000 + wait);
  const again = harness.submitRequest(exampleRequest('second-try'), ANSWER_TOKENS);
  harness.timeline.runUntil(30_000);
  assert.ok(isOnTime(again), JSON.stringify(again));
});

// Three hundred callers come in one moment after a quiet time, when answers were quick, to engines
// that serve about 27 a second when full. Each refused one comes back when it was told to. Nine in
// ten find a place then, since each was given a time of its own, and hardly any that were let in
// are given up later, since waits are predicted by what answers take in a full batch.
test('refused callers find a place when they come back as told', () => {
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

// Requests wait for two engines when one of them vanishes from the list. Those that can no longer
// be in time are told within a tick, 800 ms and more before their deadline, so that their callers
// can ask elsewhere; they were never sent, and the answer says so.
test('a waiting request whose deadline has become unreachable is told at once', () => {
  const harness = makeHarness({ servers: 2, routes: [exampleRoute(firstTokenWithin(1500))] });
  sendSteadily(harness, 'teacher', 8, [100, 4000]);
  harness.timeline.runUntil(6000);
  for (let number = 0; number < 80; number += 1) {
    harness.submitRequest(exampleRequest(`burst-${number}`), ANSWER_TOKENS);
  }
  const before = excludeRefused(outcomesOf(harness, 'kartenwerk-a')).length;
  harness.listEngines(1);
  harness.timeline.runUntil(6110);
  const answered = outcomesOf(harness, 'kartenwerk-a').filter(
    ({ problem }) => problem?.at !== 6000,
  );
  const failed = answered.filter(({ problem }) => problem !== undefined);
  assert.ok(failed.length > 0, `none of ${before} was told`);
  for (const { problem, arrivedAt } of failed) {
    assert.equal(problem?.kind, 'deadlineUnreachable');
    assert.equal(problem.ran, 'no');
    assert.ok(problem.at - arrivedAt <= 700);
  }
});

// A patient planner's requests wait for the one engine when a counter's request with a short
// deadline arrives last. The counter is served first of them, and the planner loses nothing but
// that one turn.
test('the earliest deadline is served first', () => {
  const routes = [
    exampleRoute({ name: 'plans', match: { pathPrefix: '/plans' }, ...firstTokenWithin(60_000) }),
    exampleRoute({ name: 'counter', match: { pathPrefix: '/counter' }, ...firstTokenWithin(4000) }),
  ];
  const harness = makeHarness({ servers: 1, routes });
  const plans = Array.from({ length: 16 }, (_, number) =>
    harness.submitRequest(exampleRequest(`plan-${number}`, { path: '/plans' }), ANSWER_TOKENS),
  );
  const counter = harness.submitRequest(
    exampleRequest('counter', { path: '/counter' }),
    ANSWER_TOKENS,
  );
  harness.timeline.runUntil(60_000);
  const waited = plans.slice(CONCURRENCY);
  assert.ok(waited.every((plan) => (plan.firstTokenAt ?? 0) > (counter.firstTokenAt ?? Infinity)));
  assert.ok(plans.every((plan) => plan.finishedAt !== undefined));
});

// A planner sends ten long prompts to an engine that computes one after the other and has places
// for all of them in its batch. A counter's short prompt comes right after. It is in time, because
// most long prompts still wait here, where the counter goes first, and not inside the engine.
test('long prompts do not queue inside an engine', () => {
  const routes = [
    exampleRoute({ name: 'plans', match: { pathPrefix: '/plans' }, ...firstTokenWithin(60_000) }),
    exampleRoute({ name: 'counter', match: { pathPrefix: '/counter' }, ...firstTokenWithin(1500) }),
  ];
  const harness = makeHarness({ servers: 1, routes, speed: { ...speed, concurrency: 16 } });
  for (let number = 0; number < 10; number += 1) {
    const request = exampleRequest(`plan-${number}`, { path: '/plans', promptTokens: 2000 });
    harness.submitRequest(request, ANSWER_TOKENS);
  }
  harness.timeline.runUntil(10);
  const counter = harness.submitRequest(
    exampleRequest('counter', { path: '/counter' }),
    ANSWER_TOKENS,
  );
  harness.timeline.runUntil(30_000);
  assert.equal(counter.problem, undefined);
  assert.ok((counter.firstTokenAt ?? Infinity) - counter.arrivedAt <= 1500);
  assert.ok([...harness.outcomes.values()].every(({ finishedAt }) => finishedAt !== undefined));
});

// Two callers ask for an engine that runs one request at a time. The second one's request is sent
// at the very moment the first answer ends, not with the next tick.
test('a waiting request is sent on when an attempt ends', () => {
  const harness = makeHarness({
    servers: 1,
    speed: { ...speed, concurrency: 1 },
    pool: examplePool(1),
    routes: [exampleRoute(firstTokenWithin(5000))],
  });
  harness.timeline.runUntil(7);
  const first = harness.submitRequest(exampleRequest('first'), ANSWER_TOKENS);
  const second = harness.submitRequest(exampleRequest('second'), ANSWER_TOKENS);
  harness.timeline.runUntil(5000);
  const prefillAndNetwork = 21;
  assert.equal((second.firstTokenAt ?? 0) - (first.finishedAt ?? 0), prefillAndNetwork);
});

// A workspace may have two requests in progress in the data centre and sends a third. The third
// caller is refused with the reason and a time; when one of the two has ended, it is let in.
test('a limit refuses what is above it and lets in what comes after an end', () => {
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

// The own data centre's engine is full with long answers when a counter's request comes that
// cannot wait for it. The other data centre's engine has room and gets it in time; it gets nothing
// while there is room at home.
test('other data centres are used only when the own one cannot be in time', () => {
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
    harness.submitRequest(exampleRequest(`counter-${number}`), ANSWER_TOKENS);
  }
  harness.timeline.runUntil(1500);
  const outcomes = [...harness.outcomes.values()];
  assert.ok(
    outcomes.every(isOnTime),
    JSON.stringify(outcomes.filter((one) => !isOnTime(one)).slice(0, 3)),
  );
  assert.equal(harness.engines.get('engine-0')?.running, CONCURRENCY);
});

/** Which calls an entry takes and sends on during its shutdown. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Milliseconds } from '@hornbeampond/schema';
import {
  PlainCalls,
  type PlainCallsOptions,
  type SentCall,
} from '../attempts/testing/PlainCalls.js';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const RUN_MILLISECONDS = 300;
const CALL_INTERVAL_MILLISECONDS = 50;
const BALANCER_DELAY_MILLISECONDS = 2500;
const DEADLINE_MILLISECONDS = 20_000;
const MEASURED_CALLS = 20;

/** A call that arrives this many usual runs before the limit can be served. */
const RUNS_OF_ROOM = 1.5;

const SAFE_PATH = '/v1/chat';
const ONCE_PATH = '/once';

/** An entry that has measured the calls of both of its routes. */
function makeEntry(options: Partial<PlainCallsOptions> = {}): PlainCalls {
  const entry = new PlainCalls({
    serve: () => ({ after: RUN_MILLISECONDS }),
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    ...options,
  });
  for (let number = 0; number < MEASURED_CALLS; number += 1) {
    entry.submit(`safe-${number}`, SAFE_PATH);
    entry.submit(`once-${number}`, ONCE_PATH);
    entry.advance(RUN_MILLISECONDS);
  }
  return entry;
}

function stop(entry: PlainCalls, limit: Milliseconds): void {
  const { now } = entry.timeline;
  const acceptUntil = now + Math.min(BALANCER_DELAY_MILLISECONDS, limit);
  entry.send({ type: 'shutdownStarted', acceptUntil, endAt: now + limit });
}

/** Submits calls of both kinds at even intervals, and runs until they have ended. */
function submitCalls(entry: PlainCalls, duration: Milliseconds): SentCall[] {
  const calls: SentCall[] = [];
  for (let at = 0; at < duration; at += CALL_INTERVAL_MILLISECONDS) {
    calls.push(entry.submit(`late-safe-${at}`, SAFE_PATH));
    calls.push(entry.submit(`late-once-${at}`, ONCE_PATH));
    entry.advance(CALL_INTERVAL_MILLISECONDS);
  }
  entry.advance(DEADLINE_MILLISECONDS);
  return calls;
}

function isServed({ finishedAt }: SentCall): boolean {
  return finishedAt !== undefined;
}

function isRefused({ attempts, problem }: SentCall): boolean {
  return attempts.length === 0 && problem === 'draining';
}

for (const limit of [1000, 2500, 7500]) {
  // Guards against calls that arrive shortly before the time limit, are passed on and cut, and against
  // refusals of calls that could have been served.
  test(`calls that a shutdown within ${limit} ms cannot serve are refused before they run`, () => {
    const entry = makeEntry();
    stop(entry, limit);
    const stoppedAt = entry.timeline.now;
    const calls = submitCalls(entry, Math.min(limit, BALANCER_DELAY_MILLISECONDS));
    assert.ok(calls.every(({ endings }) => endings === 1));
    assert.deepEqual(
      calls.filter((call) => !isServed(call) && !isRefused(call)),
      [],
    );
    const servedUntil = stoppedAt + limit - RUNS_OF_ROOM * RUN_MILLISECONDS;
    const early = calls.filter(({ arrivedAt }) => arrivedAt <= servedUntil);
    assert.ok(early.length > 0);
    assert.ok(early.every(isServed));
  });
}

// Guards against an entry that judges calls by the end of a shutdown which has not begun.
test('an entry that is not shut down refuses no call', () => {
  const calls = submitCalls(makeEntry(), BALANCER_DELAY_MILLISECONDS);
  assert.ok(calls.every(isServed));
});

// Guards against calls that are refused because nothing is known of their duration, though much time
// is left.
test('calls of unknown duration are served while seconds are left', () => {
  const entry = new PlainCalls({
    serve: () => ({ after: RUN_MILLISECONDS }),
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
  });
  stop(entry, 7500);
  const calls = submitCalls(entry, BALANCER_DELAY_MILLISECONDS);
  assert.ok(calls.every(isServed));
});

// Guards against queued calls that are sent on so late that they are cut, and against refusals that
// come only when a server has a place.
test('a queued call is refused as soon as it cannot end before the time limit', () => {
  const entry = makeEntry({ servers: 1, concurrency: 2 });
  const calls = Array.from({ length: 24 }, (_, number) =>
    entry.submit(`queued-${number}`, ONCE_PATH),
  );
  const limit = 2000;
  const endAt = entry.timeline.now + limit;
  stop(entry, limit);
  entry.advance(limit - RUN_MILLISECONDS / 2);
  assert.ok(calls.every(({ endings }) => endings === 1));
  assert.ok(calls.some(isServed));
  assert.ok(calls.some(isRefused));
  assert.ok(calls.every((call) => isServed(call) || isRefused(call)));
  assert.ok(calls.every(({ finishedAt = 0 }) => finishedAt < endAt));
});

// Guards against a retry that is cut: its caller can go to another entry, since the call has not run.
test('a call that has not run is not retried if a retry cannot end before the time limit', () => {
  let isStopping = false;
  const entry = makeEntry({
    serve: () =>
      isStopping
        ? { after: 200, failure: 'connectFailed', sent: 'nothing' }
        : { after: RUN_MILLISECONDS },
  });
  isStopping = true;
  stop(entry, 450);
  const calls = [entry.submit('safe', SAFE_PATH), entry.submit('once', ONCE_PATH)];
  entry.advance(250);
  assert.deepEqual(
    calls.map(({ problem }) => problem),
    ['draining', 'draining'],
  );
  assert.deepEqual(
    calls.map(({ attempts }) => attempts.length),
    [1, 1],
  );
});

// Guards against streams that are taken though their tokens cannot all be generated in the time left.
test('a stream is taken if its tokens can be generated before the time limit', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  const { entry } = cluster;
  for (let number = 0; number < MEASURED_CALLS; number += 1) {
    entry.submitRequest(makeRequest(`measured-${number}`, { maxTokens: 40 }));
    cluster.advance(200);
  }
  cluster.runUntilAnswered();
  const { now } = cluster.clock();
  entry.send({ type: 'shutdownStarted', acceptUntil: now + 2500, endAt: now + 7500 });
  cluster.advance(2400);
  const short = entry.submitRequest(makeRequest('short', { maxTokens: 100 }));
  const long = entry.submitRequest(makeRequest('long', { maxTokens: 400 }));
  cluster.runUntilAnswered();
  assert.equal(short.finalAnswers[0]?.type, 'whole');
  const refused = long.finalAnswers[0];
  assert.ok(refused?.type === 'problem');
  assert.deepEqual([refused.kind, refused.ran], ['draining', 'no']);
  assert.deepEqual(long.tokens, []);
});

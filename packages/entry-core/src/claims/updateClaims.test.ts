import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';
import type { EntryEffect } from '../entryEffects.js';
import { reduceEntry } from '../reduceEntry.js';

const clocks = { now: 10, wallNow: Date.UTC(2026, 0, 15, 11) };

function makeCluster(): SimulatedCluster {
  return new SimulatedCluster({ engines: { 'wien-a': 2 }, pool: 'bookings' });
}

function submitRequest(cluster: SimulatedCluster, key: string): EntryEffect[] {
  const request = makeRequest(key, { path: '/reservations', idempotencyKey: key, promptTokens: 0 });
  return reduceEntry(cluster.entry.state, { type: 'requestArrived', request, ...clocks });
}

function listEffectTypes(effects: readonly EntryEffect[]): string[] {
  return effects.map(({ type }) => type).filter((type) => type !== 'log' && type !== 'count');
}

// Otherwise the same call could be sent at the same time through another entry.
test('a claimed call is not sent before its claim is granted', () => {
  assert.deepEqual(listEffectTypes(submitRequest(makeCluster(), 'one')), ['proposeClaim']);
});

// The data centre is partitioned and 64 releases are unacknowledged; another claim would only time
// out.
test('a call is refused immediately while the log does not acknowledge releases', () => {
  const cluster = makeCluster();
  for (let number = 0; number < 64; number += 1) submitRequest(cluster, `earlier-${number}`);
  cluster.entry.state.claims.forEach(({ call }) => {
    call.phase = 'releasing';
  });
  const effects = submitRequest(cluster, 'one more');
  assert.deepEqual(listEffectTypes(effects), ['answerProblem']);
  const [problem] = effects.filter((effect) => effect.type === 'answerProblem');
  assert.deepEqual([problem?.kind, problem?.ran], ['claimsUnavailable', 'no']);
});

// The deadline passes while the claim is still being opened. Sending the call then would run it
// after its caller was answered.
test('a claim granted after the final answer is released without sending the call', () => {
  const cluster = makeCluster();
  submitRequest(cluster, 'one');
  const { state } = cluster.entry;
  reduceEntry(state, { type: 'tick', ...clocks, now: 10 * 60_000 });
  assert.equal(state.requests.size, 0);
  const effects = reduceEntry(state, {
    type: 'claimAnswered',
    requestId: 'one',
    command: 'openClaim',
    answer: { type: 'result', result: { type: 'claimOpened' } },
    ...clocks,
    now: 10 * 60_000 + 1,
  });
  assert.equal(listEffectTypes(effects).includes('startAttempt'), false);
  assert.equal(state.claims.get('one')?.call.phase, 'releasing');
});

// Guards against `ran: no` for a call that an earlier request of its caller may be running at another entry:
// until the stores answer, nothing shows that it is not.
test('a request that times out before its claim is answered gets `ran: unknown`', () => {
  const cluster = makeCluster();
  submitRequest(cluster, 'one');
  const effects = reduceEntry(cluster.entry.state, { type: 'tick', ...clocks, now: 10 * 60_000 });
  const problem = effects.find((effect) => effect.type === 'answerProblem');
  assert.deepEqual([problem?.kind, problem?.ran], ['deadlineExceeded', 'unknown']);
});

// Guards against the same after the stores have not answered a first try.
test('a request whose claim is asked for again and times out gets `ran: unknown`', () => {
  const cluster = makeCluster();
  submitRequest(cluster, 'one');
  const { state } = cluster.entry;
  reduceEntry(state, {
    type: 'claimAnswered',
    requestId: 'one',
    command: 'openClaim',
    answer: { type: 'unsure' },
    ...clocks,
  });
  const effects = reduceEntry(state, { type: 'tick', ...clocks, now: 10 * 60_000 });
  const problem = effects.find((effect) => effect.type === 'answerProblem');
  assert.deepEqual([problem?.kind, problem?.ran], ['deadlineExceeded', 'unknown']);
});

// Another request, present here only as the result `claimRunning`, still runs the call when the
// deadline of this one passes. With `ran: no` the caller could send the call again and have it run
// twice.
test('a request that times out while another runs the call is answered `ran: unknown`', () => {
  const cluster = makeCluster();
  submitRequest(cluster, 'one');
  const { state } = cluster.entry;
  reduceEntry(state, {
    type: 'claimAnswered',
    requestId: 'one',
    command: 'openClaim',
    answer: { type: 'result', result: { type: 'claimRunning' } },
    ...clocks,
  });
  assert.equal(state.requests.size, 1);
  const effects = reduceEntry(state, { type: 'tick', ...clocks, now: 10 * 60_000 });
  const problem = effects.find((effect) => effect.type === 'answerProblem');
  assert.deepEqual([problem?.kind, problem?.ran], ['deadlineExceeded', 'unknown']);
  assert.equal(state.claims.get('one')?.call.phase, 'releasing');
});

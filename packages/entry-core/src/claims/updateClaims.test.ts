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

// The caller's reservation is claimed in the log before anything is sent: were it sent first, a
// resend through another entry in that moment would be sent as well.
test('a call that may not be repeated asks for its claim and sends nothing yet', () => {
  assert.deepEqual(listEffectTypes(submitRequest(makeCluster(), 'one')), ['proposeClaim']);
});

// The caller is told at once that its call was not run and when to come back. The data centre is
// cut off, 64 earlier calls still wait for the log to acknowledge that they were given up, and one
// more would only wait as well.
test('a call is refused without asking a log that has been silent', () => {
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

// The caller's deadline passes while its claim is still being asked for. It gets its final answer
// then; a grant that comes later leads to a release, never to a send.
test('a grant that comes after the final answer is given back', () => {
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

// The caller has sent its reservation again, and the first run of it is not over when its patience
// ends. It is told that the call may have run; `ran: no` would have it reserve a second time.
test('a resend whose first run outlasts its deadline is not told that nothing ran', () => {
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

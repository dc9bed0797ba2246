import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, runRetryStorm, SimulatedCluster } from '../driver/index.js';

const REQUEST_COUNT = 300;

// All engines are busy, so each retry only adds load. The budget allows an initial burst and a
// fraction of the first attempts; all other requests fail with a retry delay.
test('the retry budget limits retries when all engines are busy', () => {
  const cluster = runRetryStorm(REQUEST_COUNT, true);
  const retries = cluster.entry.count('retries/backendServerBusy');
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(retries <= 10 + REQUEST_COUNT * 0.1, true, `${retries} retries`);
  assert.equal(cluster.entry.count('retriesRefused/budgetSpent') > REQUEST_COUNT / 2, true);
  cluster.callers().forEach(({ finalAnswers }) => {
    const final = finalAnswers[0];
    assert.equal(final?.type === 'problem' && final.retryAfterMilliseconds !== undefined, true);
  });
});

// Checks that the scenario above causes a retry storm if there is no budget.
test('without a budget the same scenario multiplies the requests', () => {
  const retries = runRetryStorm(REQUEST_COUNT, false).entry.count('retries/backendServerBusy');
  assert.equal(retries > 3 * REQUEST_COUNT, true, `${retries} retries`);
});

// The engine has received the request, so the answer is `ran: unknown`.
test('a request fails exactly at its deadline', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 }, wholeAnswerMilliseconds: 2000 });
  const caller = cluster.entry.submitRequest(makeRequest('one'));
  cluster.runUntilAnswered();
  assert.deepEqual(
    caller.finalAnswers.map(({ at, ...rest }) => ({ ...rest, late: at - 2000 })),
    [
      {
        type: 'problem',
        kind: 'deadlineExceeded',
        ran: 'unknown',
        retryAfterMilliseconds: 1000,
        late: 0,
      },
    ],
  );
});

// Every engine refuses the connection, so no byte of the request is sent.
test('a request that no engine received is reported as not run', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 }, wholeAnswerMilliseconds: 3000 });
  cluster.engines.forEach((engine) => engine.die());
  const caller = cluster.entry.submitRequest(makeRequest('one'));
  cluster.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.ran, 'no');
  assert.deepEqual(cluster.findViolations(), []);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, runRetryStorm, SimulatedCluster } from '../driver/index.js';

const FIRST_ATTEMPTS = 300;

// Callers see a refusal at once, with when to come back, instead of a slow one. Every engine is
// busy, so each retry only adds to the load that keeps them so. The budget lets a share of
// the first attempts and one burst through and refuses the rest by reason.
test('a retry storm is bounded by the budget', () => {
  const cluster = runRetryStorm(FIRST_ATTEMPTS, true);
  const retries = cluster.entry.count('retries/backendServerBusy');
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(retries <= 10 + FIRST_ATTEMPTS * 0.1, true, `${retries} retries`);
  assert.equal(cluster.entry.count('retriesRefused/budgetSpent') > FIRST_ATTEMPTS / 2, true);
  cluster.callers().forEach(({ finalAnswers }) => {
    const final = finalAnswers[0];
    assert.equal(final?.type === 'problem' && final.retryAfterMilliseconds !== undefined, true);
  });
});

// Shows that the check above can fail: without the budget each request is retried until its deadline.
test('without a budget the same storm multiplies', () => {
  const retries = runRetryStorm(FIRST_ATTEMPTS, false).entry.count('retries/backendServerBusy');
  assert.equal(retries > 3 * FIRST_ATTEMPTS, true, `${retries} retries`);
});

// The caller gets its final answer at the deadline, not after it, and is told `ran: unknown`, as the
// engine had the request. No retry is started that could not end in time.
test('a deadline that passes gives the final answer at that moment', () => {
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

// The caller is told `ran: no`, and it is true: every engine refused the connection, so
// not one byte of the call was sent.
test('a request that no engine took did not run', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 }, wholeAnswerMilliseconds: 3000 });
  cluster.engines.forEach((engine) => engine.die());
  const caller = cluster.entry.submitRequest(makeRequest('one'));
  cluster.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.ran, 'no');
  assert.deepEqual(cluster.findViolations(), []);
});

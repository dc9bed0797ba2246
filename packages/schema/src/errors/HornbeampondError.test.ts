import assert from 'node:assert/strict';
import { test } from 'node:test';
import { errorAnswers, errorKinds } from './errorKinds.js';
import { HornbeampondError, toProblemDocument } from './HornbeampondError.js';

test('an error becomes the problem document of its kind', () => {
  const error = new HornbeampondError('overloaded', 'The queue has 2000 requests', {
    retryAfterMilliseconds: 1200,
  });
  assert.ok(error instanceof Error);
  assert.deepEqual(toProblemDocument(error, 'request-1'), {
    type: 'urn:hornbeampond:problem:overloaded',
    title: 'The queue of this route is full',
    status: 503,
    detail: 'The queue has 2000 requests',
    kind: 'overloaded',
    ran: 'no',
    retryAfterSeconds: 2,
    requestId: 'request-1',
  });
});

test('an unexpected error does not claim that the request was not run', () => {
  const problem = toProblemDocument(new TypeError('x is undefined'));
  assert.equal(problem.kind, 'internalError');
  assert.equal(problem.ran, 'unknown');
});

test('an error can override whether the request ran', () => {
  const error = new HornbeampondError('backendServerFailed', 'refused', { ran: 'no' });
  assert.equal(toProblemDocument(error).ran, 'no');
});

// Without a retry time all refused callers would retry immediately.
test('every kind that a retry helps has a retry time', () => {
  errorKinds.forEach((kind) => {
    const problem = toProblemDocument(new HornbeampondError(kind, 'x'));
    assert.equal(problem.retryAfterSeconds !== undefined, errorAnswers[kind].retryHelps, kind);
  });
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { errorAnswers, errorKinds } from './errorKinds.js';
import { HornbeampondError, toProblemDocument } from './HornbeampondError.js';

test('an error becomes the answer of its kind', () => {
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

test('an error that nobody foresaw promises nothing about whether the request ran', () => {
  const problem = toProblemDocument(new TypeError('x is undefined'));
  assert.equal(problem.kind, 'internalError');
  assert.equal(problem.ran, 'unknown');
});

test('the raiser of an error may know more of whether the request ran', () => {
  const error = new HornbeampondError('backendServerFailed', 'refused', { ran: 'no' });
  assert.equal(toProblemDocument(error).ran, 'no');
});

// A caller told to come back without being told when would come back at once, all of them at once.
test('every kind that a retry helps says when to come back', () => {
  errorKinds.forEach((kind) => {
    const problem = toProblemDocument(new HornbeampondError(kind, 'x'));
    assert.equal(problem.retryAfterSeconds !== undefined, errorAnswers[kind].retryHelps, kind);
  });
});

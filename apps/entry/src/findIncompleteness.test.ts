import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findIncompleteness, type EndedAnswer } from './findIncompleteness.js';

const closed = { shownBy: 'close', hasSentRequest: true } as const;

const whole: EndedAnswer = {
  bodyEnd: closed,
  hasPartialEvent: false,
  mayHaveBeenStopped: false,
  mayServerHaveEnded: false,
};

test('an answer whose server has closed its connection is whole', () => {
  assert.equal(findIncompleteness(whole), undefined);
});

// Guards against a part that the caller gets as the whole answer, because its run was stopped on order.
test('an answer that only a close ends is not whole if its run may have been stopped', () => {
  assert.equal(findIncompleteness({ ...whole, mayHaveBeenStopped: true }), 'runStopped');
});

// Guards against a part that the caller gets as the whole answer, because the time of its server has come.
test('an answer that only a close ends is not whole if its server may have been ended', () => {
  assert.equal(findIncompleteness({ ...whole, mayServerHaveEnded: true }), 'serverEnded');
});

// Guards against whole answers that are broken off: a run that is stopped sends no end of its chunks.
test('an answer whose length or chunks show its end is whole whatever was ordered', () => {
  const framed: EndedAnswer = { ...whole, bodyEnd: { shownBy: 'framing' } };
  assert.equal(
    findIncompleteness({ ...framed, mayHaveBeenStopped: true, mayServerHaveEnded: true }),
    undefined,
  );
});

// Guards against a part given as complete, because its server closed before it had the whole request.
test('an answer that only a close ends is not whole if its request was not yet sent', () => {
  const early: EndedAnswer = { ...whole, bodyEnd: { ...closed, hasSentRequest: false } };
  assert.equal(findIncompleteness(early), 'requestNotSent');
});

// Guards against half an event that looks like the end of a stream.
test('a stream that ends inside an event is not whole, however it ends', () => {
  [closed, { shownBy: 'framing' } as const].forEach((bodyEnd) =>
    assert.equal(findIncompleteness({ ...whole, bodyEnd, hasPartialEvent: true }), 'partialEvent'),
  );
});

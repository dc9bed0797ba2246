import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EventStreamSplitter } from './EventStreamSplitter.js';

const stream = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: half';

/** Pushes the parts of a stream one by one and joins the results. */
function pushAll(parts: readonly string[]) {
  const splitter = new EventStreamSplitter();
  const results = parts.map((part) => splitter.push(Buffer.from(part)));
  return {
    text: results.map(({ bytes }) => bytes.toString()).join(''),
    count: results.reduce((sum, { count }) => sum + count, 0),
    lastId: results.map(({ lastId }) => lastId).findLast((id) => id !== undefined),
    pending: splitter.pendingBytes.toString(),
  };
}

test('complete events are returned and the bytes after them are retained', () => {
  assert.deepEqual(pushAll([stream]), {
    text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n',
    count: 3,
    lastId: '3',
    pending: 'id: 4\ndata: half',
  });
});

test('the result does not depend on how the stream is divided into chunks', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: stream.length }), { maxLength: 12 }),
      (offsets) => {
        const cuts = [0, ...offsets.sort((a, b) => a - b), stream.length];
        const parts = cuts.slice(1).map((end, index) => stream.slice(cuts[index], end));
        assert.deepEqual(pushAll(parts), pushAll([stream]));
      },
    ),
    { seed: 11, numRuns: 500 },
  );
});

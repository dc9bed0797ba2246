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

// Streams may end their lines with CR alone. Guards against streams of which nothing is passed on.
test('events whose lines end with CR alone are returned at once', () => {
  const text = 'id: 1\rdata: a\r\rid: 2\rdata: b\r\r';
  assert.deepEqual(pushAll([text]), { text, count: 2, lastId: '2', pending: '' });
  assert.deepEqual(pushAll([`${text}id: 3\rdata`]), {
    text,
    count: 2,
    lastId: '2',
    pending: 'id: 3\rdata',
  });
});

const lineEnds = ['\n', '\r\n', '\r'] as const;

/** Events whose lines end in one way, or a different one for each line. */
const mixedStreams = fc
  .array(fc.constantFrom(...lineEnds), { minLength: 3, maxLength: 12 })
  .map((ends) => {
    const endOf = (line: number) => ends[line % ends.length] ?? '\n';
    const events = [1, 2, 3, 4].map((id) => {
      const line = id * 3;
      // CR and LF of two line ends would be one line end.
      const last = endOf(line + 1) === '\r' ? '\r' : endOf(line + 2);
      return `id: ${id}${endOf(line)}data: e${id}${endOf(line + 1)}${last}`;
    });
    return events.join('');
  });

// Guards against a CR at the end of a chunk whose LF in the next one is taken for another line end.
test('each form of line end is known wherever the chunks end', () => {
  fc.assert(
    fc.property(
      mixedStreams,
      fc.array(fc.integer({ min: 0, max: 80 }), { maxLength: 12 }),
      (events, offsets) => {
        // The next event shows that no LF follows the last CR.
        const text = `${events}id: 5`;
        const ends = offsets.map((offset) => Math.min(offset, text.length));
        const cuts = [0, ...ends.sort((a, b) => a - b), text.length];
        const parts = cuts.slice(1).map((end, index) => text.slice(cuts[index], end));
        const result = pushAll(parts);
        const passed = { text: events, count: 4, lastId: '4', pending: 'id: 5' };
        assert.deepEqual(result, passed);
      },
    ),
    { seed: 11, numRuns: 2000 },
  );
});

['\n', '\r\n', '\r'].forEach((lineEnd) => {
  const events = `id: 1${lineEnd}data: a${lineEnd}${lineEnd}`.repeat(2);
  // Guards against whole streams that count as broken off, because their last byte is held back.
  test(`a stream whose lines end with ${JSON.stringify(lineEnd)} leaves nothing at its end`, () => {
    const { text, count, pending } = pushAll([...events]);
    assert.deepEqual({ text, count, pending }, { text: events, count: 2, pending: '' });
  });
});

const KIBIBYTE = 1024;
const MAX_EVENT_BYTES = 1024 * KIBIBYTE;
const READ_BYTES = 64 * KIBIBYTE;

/** Processor time of an event; heartbeats of entries and the time limits of calls bear no longer standstill. */
const MAX_EVENT_MILLISECONDS = 1000;

const PIECES_PER_CHECK = 4 * KIBIBYTE;
const MICROSECONDS_PER_MILLISECOND = 1000;

function readProcessorMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

['', 'id: 1\ndata: ', 'id: 1\r\ndata: '].forEach((start) => {
  // Guards against an entry that stands still because it copies and searches a long event again with each
  // small chunk: a server that sends one without end would stop the requests of all clients.
  test(`the longest event in chunks of one byte does not hold up the process, after ${JSON.stringify(start)}`, () => {
    const splitter = new EventStreamSplitter();
    const piece = Buffer.from('x');
    if (start !== '') splitter.push(Buffer.from(start));
    const startedAt = readProcessorMilliseconds();
    let elapsed = 0;
    for (let count = start.length; count < MAX_EVENT_BYTES; count += 1) {
      splitter.push(piece);
      if (count % PIECES_PER_CHECK === 0) elapsed = readProcessorMilliseconds() - startedAt;
      if (elapsed > MAX_EVENT_MILLISECONDS) break;
    }
    const { length } = splitter.pendingBytes;
    assert.equal(length, MAX_EVENT_BYTES, `${length} bytes in ${elapsed} ms`);
    assert.throws(() => splitter.push(piece), /too long/);
  });
});

// Guards against open streams that each hold their last read, or their longest event, until the next one.
test('a splitter holds no more than the incomplete event', () => {
  const splitter = new EventStreamSplitter();
  const ends = ['\n\n', '\n\nd', '\n\ndata: 1\n'];
  ends.forEach((end) => {
    splitter.push(Buffer.alloc(READ_BYTES, 'x'));
    splitter.push(Buffer.from(end));
    const { length, buffer } = splitter.pendingBytes;
    // Small buffers are parts of a pool of Node's, which is shared.
    const limit = Math.max(2 * length, Buffer.poolSize);
    assert.ok(buffer.byteLength <= limit, `${buffer.byteLength} bytes for ${length}`);
  });
});

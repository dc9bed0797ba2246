import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LineWriter } from './LineWriter.js';

/** A reader that takes a batch only when the test lets it. */
function makeReader() {
  const batches: string[] = [];
  let take: (error: Error | null) => void = () => {};
  let now = 0;
  const writer = new LineWriter(
    (text, onTaken) => {
      batches.push(text);
      take = onTaken;
    },
    () => now,
  );
  return {
    writer,
    batches,
    take: (error: Error | null = null) => take(error),
    pass: (span: number) => {
      now += span;
    },
  };
}

test('lines that come while a batch is being taken follow together', () => {
  const { writer, batches, take } = makeReader();
  ['a', 'b', 'c'].forEach(writer.write);
  assert.deepEqual(batches, ['a\n']);
  take();
  assert.deepEqual(batches, ['a\n', 'b\nc\n']);
});

// A reader has stopped. The process goes on serving: it neither waits nor keeps lines without end,
// and an operator who reads on later is told how many are missing.
test('a reader that stands still holds nothing up, and is told what it missed', () => {
  const { writer, batches, take, pass } = makeReader();
  const line = 'x'.repeat(1000);
  for (let number = 0; number < 3000; number += 1) {
    writer.write(line);
    pass(1);
  }
  assert.equal(batches.length, 1);
  take();
  take();
  writer.write('after');
  const kept = batches
    .join('')
    .split('\n')
    .filter((text) => text === line).length;
  assert.match(batches.at(-1) ?? '', new RegExp(`"linesDropped","count":${3000 - kept}`));
  assert.ok(kept > 1000 && kept < 1100, String(kept));
});

test('more lines than a reader can follow are dropped within their second', () => {
  const { writer, batches, take, pass } = makeReader();
  for (let number = 0; number < 5000; number += 1) {
    writer.write(String(number));
    take();
  }
  pass(1000);
  writer.write('next');
  take();
  const lines = batches.join('').trim().split('\n');
  assert.equal(lines.length, 2002);
  assert.equal(lines.at(-2), '{"event":"linesDropped","count":3000}');
});

test('an output that fails does not end the process', () => {
  const { writer, batches, take } = makeReader();
  writer.write('a');
  take(new Error('closed'));
  writer.write('b');
  assert.deepEqual(batches, ['a\n', '{"event":"linesDropped","count":1}\nb\n']);
});

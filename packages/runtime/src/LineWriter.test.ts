import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LineWriter } from './LineWriter.js';

/** A writer whose output completes a batch only when the test calls `completeWrite`. */
function makeManualOutput() {
  const batches: string[] = [];
  let completeWrite: (error: Error | null) => void = () => {};
  let now = 0;
  const writer = new LineWriter(
    (text, onWritten) => {
      batches.push(text);
      completeWrite = onWritten;
    },
    () => now,
  );
  return {
    writer,
    batches,
    completeWrite: (error: Error | null = null) => completeWrite(error),
    advanceClock: (milliseconds: number) => {
      now += milliseconds;
    },
  };
}

test('lines that arrive during a write are written together afterwards', () => {
  const { writer, batches, completeWrite } = makeManualOutput();
  ['a', 'b', 'c'].forEach(writer.write);
  assert.deepEqual(batches, ['a\n']);
  completeWrite();
  assert.deepEqual(batches, ['a\n', 'b\nc\n']);
});

// A stalled reader must neither block the process nor let the buffer grow without limit.
test('lines beyond the buffer are dropped while the output stalls, and their number is reported', () => {
  const { writer, batches, completeWrite, advanceClock } = makeManualOutput();
  const line = 'x'.repeat(1000);
  for (let number = 0; number < 3000; number += 1) {
    writer.write(line);
    advanceClock(1);
  }
  assert.equal(batches.length, 1);
  completeWrite();
  completeWrite();
  writer.write('after');
  const writtenCount = batches
    .join('')
    .split('\n')
    .filter((text) => text === line).length;
  assert.match(batches.at(-1) ?? '', new RegExp(`"linesDropped","count":${3000 - writtenCount}`));
  assert.ok(writtenCount > 1000 && writtenCount < 1100, String(writtenCount));
});

test('lines above the limit per second are dropped and counted', () => {
  const { writer, batches, completeWrite, advanceClock } = makeManualOutput();
  for (let number = 0; number < 5000; number += 1) {
    writer.write(String(number));
    completeWrite();
  }
  advanceClock(1000);
  writer.write('next');
  completeWrite();
  const lines = batches.join('').trim().split('\n');
  assert.equal(lines.length, 2002);
  assert.equal(lines.at(-2), '{"event":"linesDropped","count":3000}');
});

test('lines of a failed write are counted as dropped and later lines are written', () => {
  const { writer, batches, completeWrite } = makeManualOutput();
  writer.write('a');
  completeWrite(new Error('closed'));
  writer.write('b');
  assert.deepEqual(batches, ['a\n', '{"event":"linesDropped","count":1}\nb\n']);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { readChunks } from './readChunks.js';

const KIBIBYTE = 1024;
const READ_BYTES = 64 * KIBIBYTE;
const PIECES = 512 * KIBIBYTE;

/** A chunk of one byte takes six bytes on the connection. */
const PIECE_WIRE_BYTES = 6;

/** What is collected may be copied once while its store grows, and once more when it is joined. */
const MAX_HELD_RATIO = 4;

const makeTooLongError = () => new Error('too long');

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function readHeldBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Pieces of one byte, each a part of the read that it came with. */
async function* makePieces(onEnd: () => void): AsyncGenerator<Buffer> {
  let read = Buffer.alloc(0);
  for (let count = 0; count < PIECES; count += 1) {
    const at = (count * PIECE_WIRE_BYTES) % (READ_BYTES - PIECE_WIRE_BYTES);
    if (at < PIECE_WIRE_BYTES) read = Buffer.alloc(READ_BYTES, 'x');
    yield read.subarray(at, at + 1);
  }
  onEnd();
}

// Guards against an answer in small chunks that is within its limit in bytes, but takes a hundred times as
// much memory: each chunk is an object of its own, and keeps the read that it came with.
test('an answer in chunks of one byte is held in little more than its bytes', async () => {
  const before = readHeldBytes();
  let held = 0;
  const pieces = makePieces(() => {
    held = readHeldBytes() - before;
  });
  const body = await readChunks(pieces, PIECES, makeTooLongError);
  assert.equal(body.length, PIECES);
  const maxHeldBytes = MAX_HELD_RATIO * PIECES + READ_BYTES;
  assert.ok(held <= maxHeldBytes, `${held} bytes held for ${PIECES}`);
});

// Guards against a limit that a body may pass by one chunk, or that cuts a body of just its length.
test('a body is read up to its limit', async () => {
  const send = async function* send() {
    yield Buffer.from('ab');
    yield Buffer.from('cd');
  };
  assert.equal(String(await readChunks(send(), 4, makeTooLongError)), 'abcd');
  await assert.rejects(readChunks(send(), 3, makeTooLongError), /too long/);
});

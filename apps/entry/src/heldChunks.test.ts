import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { HeldAnswer, type AnswerSink } from './HeldAnswer.js';
import { RelayAnswer } from './RelayAnswer.js';

const KIBIBYTE = 1024;
const READ_BYTES = 64 * KIBIBYTE;

/** As much as is held of an answer before it is passed on. */
const HELD_BYTES = 256 * KIBIBYTE;

/** A chunk of one byte takes six bytes on the connection. */
const PIECE_WIRE_BYTES = 6;
const PIECES_PER_READ = Math.floor(READ_BYTES / PIECE_WIRE_BYTES);

/** The bytes themselves, as much again while their store grows, and what the process does beside it. */
const MAX_HELD_RATIO = 4;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function readHeldBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Writes pieces of one byte, each a part of the read that it came with. */
function writePieces(sink: AnswerSink<never>): void {
  let read = Buffer.alloc(0);
  for (let count = 0; count < HELD_BYTES; count += 1) {
    const at = count % PIECES_PER_READ;
    if (at === 0) read = Buffer.alloc(READ_BYTES, 'x');
    void sink.writeBytes(read.subarray(at, at + 1));
  }
}

const ignored: AnswerSink<never> = { receiveHead: () => {}, writeBytes: () => undefined };

const response = { on: () => {}, once: () => {} } as unknown as ServerResponse;

const sinks: Readonly<Record<string, () => AnswerSink<never>>> = {
  HeldAnswer: () => new HeldAnswer<never>(ignored, () => true),
  RelayAnswer: () => new RelayAnswer('r', response, undefined as never, undefined),
};

Object.entries(sinks).forEach(([name, makeSink]) => {
  // Guards against an answer in small chunks that is within the limit of what is held, but takes a hundred
  // times as much memory: each chunk is an object of its own, and keeps the read that it came with.
  test(`an answer in chunks of one byte is held in little more than its bytes: ${name}`, () => {
    const sink = makeSink();
    const before = readHeldBytes();
    writePieces(sink);
    const held = readHeldBytes() - before;
    assert.ok(held <= MAX_HELD_RATIO * HELD_BYTES, `${held} bytes held for ${HELD_BYTES}`);
    assert.equal(sink.writeBytes(Buffer.alloc(0)), undefined);
  });
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BodyBytes } from './BodyBytes.js';

const KIBIBYTE = 1024;

function fill(bytes: number, from: number): Buffer {
  return Buffer.from(Array.from({ length: bytes }, (_, at) => (from + at) % 251));
}

// Guards against bytes that are lost or swapped where a block is full or a large piece comes between small ones.
test('a body is the same whatever pieces it comes in', () => {
  const sizes = [1, 1023, 1, 1, 20 * KIBIBYTE, 5, 0, 16 * KIBIBYTE, 15 * KIBIBYTE, 70_000, 3];
  const pieces = sizes.map((size, at) => fill(size, at * 7));
  const whole = Buffer.concat(pieces);
  [0, whole.length, whole.length - 1, 2 * whole.length, 10].forEach((expectedBytes) => {
    const body = new BodyBytes(expectedBytes);
    pieces.forEach((piece) => body.add(piece));
    assert.deepEqual(body.join(), whole);
  });
});

// Guards against a body that takes its bytes twice once it is whole.
test('a body of known length is in one block', () => {
  const pieces = Array.from({ length: 32 }, (_, at) => fill(2 * KIBIBYTE, at));
  const body = new BodyBytes(64 * KIBIBYTE);
  pieces.forEach((piece) => body.add(piece));
  const joined = body.join();
  assert.deepEqual(joined, Buffer.concat(pieces));
  assert.equal(joined.buffer.byteLength, 64 * KIBIBYTE);
});

// Guards against a body of small chunks that takes many times its bytes.
test('many small pieces are joined', () => {
  const body = new BodyBytes();
  for (let at = 0; at < 100 * KIBIBYTE; at += 1) body.add(Buffer.from('a'));
  assert.equal(body.join().toString(), 'a'.repeat(100 * KIBIBYTE));
});

test('an empty body is empty', () => {
  assert.equal(new BodyBytes().join().length, 0);
});

import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { CarriedCalls } from './CarriedCalls.js';

test('a connection has carried the calls that were sent on it, and no others', () => {
  const calls = new CarriedCalls();
  const [first, second] = [new Socket(), new Socket()];
  calls.add(first, 'abc');
  calls.add(first, 'def');
  assert.deepEqual(
    [first, second].map((socket) => ['abc', 'def', 'ghi'].map((id) => calls.includes(socket, id))),
    [
      [true, true, false],
      [false, false, false],
    ],
  );
});

// Guards against memory that grows with the calls on a connection, and with the IDs that callers choose.
test('a connection is replaced before much is remembered of it, and long IDs are not remembered', () => {
  const calls = new CarriedCalls();
  const socket = new Socket();
  let count = 0;
  for (; count < 1000 && !calls.isFull(socket); count += 1) calls.add(socket, `call-${count}`);
  assert.equal(count, 256);
  assert.deepEqual(
    [16, 64, 65, 16_000].map((length) => CarriedCalls.canRemember('x'.repeat(length))),
    [true, true, false, false],
  );
});

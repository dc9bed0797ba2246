import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseConnectionLimits } from './chooseConnectionLimits.js';

const MEBIBYTE = 1024 * 1024;
const LARGEST_BODY_BYTES = 4 * MEBIBYTE;

/** A head of 16 KiB with as many lines as it can have. */
const COSTLIEST_HEAD_BYTES = 16 * 1024 * 2 + 4096 * 256;

// Guards against limits that a single request inside the configured bounds meets, and against more than a machine has.
[64, 160, 210, 250, 350, 490].forEach((memoryMegabytes) => {
  test(`an entry with ${memoryMegabytes} MB has room for the largest request`, () => {
    const limits = chooseConnectionLimits({ memoryMegabytes, descriptors: 4096 });
    const { heap, buffers } = limits.held;
    assert.ok(limits.bodyBytes >= LARGEST_BODY_BYTES);
    assert.ok(heap >= 2 * COSTLIEST_HEAD_BYTES);
    assert.ok(heap + buffers <= (memoryMegabytes * MEBIBYTE) / 2.5, `${heap + buffers}`);
  });
});

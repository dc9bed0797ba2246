import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { text } from 'node:stream/consumers';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const LINES = 5;
const BUSY_MILLISECONDS = 700;

const program = fileURLToPath(new URL('./testing/stalledEndMain.js', import.meta.url));

// Guards against a normal stop that ends with a signal, without its last lines, because the process was
// stalled for a moment although its output is read.
test('a process that was stalled while it ends writes its lines and exits with its code', async () => {
  const child = spawn(process.execPath, [program, String(LINES), String(BUSY_MILLISECONDS)]);
  const [output, [code, signal]] = await Promise.all([text(child.stdout), once(child, 'exit')]);
  assert.equal(output.trim().split('\n').length, LINES);
  assert.deepEqual([code, signal], [0, null]);
});

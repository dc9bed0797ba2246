import assert from 'node:assert/strict';
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { text } from 'node:stream/consumers';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const MAX_END_MILLISECONDS = 5000;

const program = fileURLToPath(new URL('./testing/endingMain.js', import.meta.url));

function start(...programArguments: string[]): ChildProcess {
  return spawn(process.execPath, [program, ...programArguments], { stdio: 'pipe' });
}

/** Resolves with how the process ended; one that does not end in time is killed, which fails the test. */
async function waitForEnd(child: ChildProcess) {
  const timer = setTimeout(() => {
    child.emit('error', new Error('the process has not ended in time'));
    child.kill('SIGKILL');
  }, MAX_END_MILLISECONDS);
  const [code, signal] = (await once(child, 'exit')) as [number | null, string | null];
  clearTimeout(timer);
  return { code, signal };
}

// Guards against the loss of the lines that say why a process ends.
test('the last lines of a process that ends by itself are written', async () => {
  const child = start('50');
  const { stdout, stderr } = child;
  assert.ok(stdout !== null && stderr !== null);
  const [output, errors, ending] = await Promise.all([
    text(stdout),
    text(stderr),
    waitForEnd(child),
  ]);
  const numbers = output
    .trim()
    .split('\n')
    .map((line) => (JSON.parse(line) as { number: number }).number);
  assert.equal(numbers.length, 50);
  assert.equal(errors, 'ending: failed\n');
  assert.deepEqual(ending, { code: 1, signal: null });
});

// Guards against a process that an output without a reader keeps from ending.
test('a process whose output nobody reads ends', async () => {
  // More than the buffers of a pipe and of its reader take together.
  const child = start('1500', '500');
  const { signal } = await waitForEnd(child);
  child.stdout?.destroy();
  assert.equal(signal, 'SIGKILL');
});

// Guards against a process that a file operation without end keeps from ending: opening a pipe without a
// reader waits as a write to a stalled disk does.
test('a process with a file operation that does not end ends', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'hornbeampond-end-'));
  try {
    const path = join(folder, 'pipe');
    execFileSync('mkfifo', [path]);
    const child = start('1', '0', path);
    const { stdout } = child;
    assert.ok(stdout !== null);
    const [output, { signal }] = await Promise.all([text(stdout), waitForEnd(child)]);
    assert.match(output, /shutdownStarted/);
    assert.equal(signal, 'SIGKILL');
  } finally {
    rmSync(folder, { recursive: true });
  }
});

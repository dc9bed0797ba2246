/** The end of processes whose store has failed, by real processes on real folders. */
import assert from 'node:assert/strict';
import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { text } from 'node:stream/consumers';
import { test, type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import { LogStore } from '@hornbeampond/store-core';

const MAX_RUN_MILLISECONDS = 12_000;

/** Supervisors may count a process that ends later than this after a fault of its machine as faulty. */
const MAX_END_MILLISECONDS = 1000;

const program = fileURLToPath(new URL('./testing/failedStoreMain.js', import.meta.url));

/** Runs a store that fails; one that does not end in time is killed, and has no duration then. */
async function runFailedStore(context: TestContext, behaviour: string) {
  const folder = mkdtempSync(join(tmpdir(), 'hornbeampond-failed-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const pipe = join(folder, 'pipe');
  execFileSync('mkfifo', [pipe]);
  const data = join(folder, 'data');
  const child = spawn(process.execPath, [program, data, behaviour, pipe]);
  let hasTimedOut = false;
  const timer = setTimeout(() => {
    hasTimedOut = true;
    child.kill('SIGKILL');
  }, MAX_RUN_MILLISECONDS);
  const [output, errors] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    once(child, 'exit'),
  ]);
  clearTimeout(timer);
  assert.equal(errors, '');
  assert.equal(hasTimedOut, false, `the process has not ended: ${output}`);
  // The line that says why the process ends, which is the last one unless a part does not close.
  assert.match(output, /"event":"diskRefused"/);
  assert.match(output, /^change-1 result$/m);
  return { data, output };
}

async function openAgain(folder: string): Promise<LogStore> {
  return LogStore.open({ folder, cluster: 'tested', instance: 'store-1', onNotice: () => {} });
}

function hasChange(store: LogStore, number: number): boolean {
  return JSON.stringify(store.restored.entries).includes(`"change-${number}"`);
}

// Guards against a process that ends so long after its disk was in order that its end looks like a fault of its own:
// a part of it does not close, and all bounds together are over a second.
test('a store whose disk was full ends within a second once it has been restored', async (context) => {
  const folder = mkdtempSync(join(tmpdir(), 'hornbeampond-restored-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const pipe = join(folder, 'pipe');
  execFileSync('mkfifo', [pipe]);
  const child = spawn(process.execPath, [
    program,
    join(folder, 'data'),
    'stallsAfterRestore',
    pipe,
  ]);
  context.after(() => child.kill('SIGKILL'));
  const exit = once(child, 'exit').then(() => performance.now());
  let output = '';
  for await (const chunk of child.stdout) {
    output += String(chunk);
    if (output.includes('"event":"diskRestored"')) break;
  }
  const restoredAt = performance.now();
  const duration = (await exit) - restoredAt;
  assert.ok(duration <= MAX_END_MILLISECONDS, `it takes ${Math.round(duration)} ms to end`);
});

test('a refused store whose parts all close ends with a new identity', async (context) => {
  const { data } = await runFailedStore(context, 'sound');
  const store = await openAgain(data);
  assert.equal(store.isNew, true);
  await store.close();
});

// Guards against a process that stays for good, without taking part, behind a write that does not end; and against a
// new identity in a folder that is still written to.
test('a refused store whose disk stalls ends, and keeps its identity and what it acknowledged', async (context) => {
  const { data, output } = await runFailedStore(context, 'stalls');
  assert.match(output, /^change-2 unsure$/m);
  assert.match(output, /"event":"storePartNotClosed".*"part":"disk","reason":"timedOut"/);
  const store = await openAgain(data);
  assert.equal(store.isNew, false);
  assert.equal(hasChange(store, 1), true);
  await store.close();
});

// Guards against a folder that keeps the identity of a refused disk because its lock was not released at once.
test('a refused store whose disk fails to close at first ends with a new identity', async (context) => {
  const { data } = await runFailedStore(context, 'closeFails');
  const store = await openAgain(data);
  assert.equal(store.isNew, true);
  await store.close();
});

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import type { LogEntry } from '../consensus/consensusTypes.js';
import { LogStore } from './LogStore.js';
import { MemoryFileSystem } from './testing/MemoryFileSystem.js';

const ROUTES = 800;

/** Some 120 MB on the disk, of the 128 MB that a store has. */
const CONFIGURATIONS = 300;

/** Half the heap of a store's process, which its program and its state need as well. */
const HEAP_MEGABYTES = 100;

function makeConfiguration(number: number) {
  return {
    type: 'replaceTables',
    routes: Array.from({ length: ROUTES }, (_, route) => ({
      name: `route-${route}`,
      match: { host: 'a.example', pathPrefix: `/p${route}/` },
      pool: 'pool',
      idempotent: true,
      claimed: false,
      public: false,
      mostAttempts: 2,
      priority: 5,
      timeZone: 'UTC',
      deadline: {
        firstTokenMilliseconds: 200,
        wholeAnswerMilliseconds: 2500 + number,
        lateFirstTokenMilliseconds: 2000,
      },
      limits: { inProgressPerWorkspace: 1_000_000 },
    })),
    document: `${number}`.padEnd(150 * ROUTES, '.'),
  };
}

async function openLog(fileSystem: MemoryFileSystem): Promise<LogStore> {
  const options = { folder: '/data', cluster: 'test', instance: 'a', onNotice: () => {} };
  const segmentBytes = 2 * 1024 * 1024;
  return LogStore.open({ ...options, fileSystem, segmentBytes });
}

/** Writes a log of large configurations, opens it anew and uses each of its entries. */
async function writeAndReopen(): Promise<void> {
  const fileSystem = new MemoryFileSystem();
  const first = await openLog(fileSystem);
  for (let index = 1; index <= CONFIGURATIONS; index += 1) {
    const body = { type: 'command', command: makeConfiguration(index) } as const;
    const entry: LogEntry = { index, term: 1, at: index, body };
    await first.write({ type: 'persist', batch: index, entries: [entry] });
  }
  await first.close();
  const second = await openLog(fileSystem);
  const { entries } = second.restored;
  assert.equal(entries.length, CONFIGURATIONS);
  entries.forEach(({ index, body }) => {
    assert.ok(body.type === 'command');
    assert.deepEqual(body.command, makeConfiguration(index));
  });
  await second.close();
}

const testFile = fileURLToPath(import.meta.url);
const IS_CHILD = process.env.LARGE_LOG_CHILD === '1';

if (IS_CHILD) await writeAndReopen();
else {
  // Guards against a store that can never start again: its log of large entries, decoded, exceeds its heap.
  test('a log of large entries that fills the disk is read back within half the heap of a store', () => {
    const { status, stderr } = spawnSync(
      process.execPath,
      [`--max-old-space-size=${HEAP_MEGABYTES}`, testFile],
      { env: { ...process.env, LARGE_LOG_CHILD: '1' }, encoding: 'utf8' },
    );
    assert.equal(status, 0, stderr.slice(0, 2000));
  });
}

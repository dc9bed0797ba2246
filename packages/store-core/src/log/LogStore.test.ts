import assert from 'node:assert/strict';
import { mkdtemp, readFile, readdir, rm, truncate, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import type { PersistEffect } from '../consensus/consensusEvents.js';
import type { LogEntry, SnapshotHeader } from '../consensus/consensusTypes.js';
import { encodeFrame } from './frames.js';
import { LogStore, renewIdentity, type LogNotice, type LogStoreOptions } from './LogStore.js';
import { MemoryFileSystem, type SurvivingWrites } from './testing/MemoryFileSystem.js';

type Options = LogStoreOptions & { readonly notices: LogNotice[] };

function optionsFor(folder: string, more: Partial<LogStoreOptions> = {}): Options {
  const notices: LogNotice[] = [];
  const onNotice = (notice: LogNotice) => notices.push(notice);
  return { folder, cluster: 'test', instance: 'a', onNotice, notices, ...more };
}

async function temporaryFolder(context: TestContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'hornbeampond-log-'));
  context.after(() => rm(folder, { recursive: true }));
  return folder;
}

function entry(index: number, term = 1): LogEntry {
  return { index, term, at: index, body: { type: 'command', command: `write ${index}` } };
}

function entries(first: number, last: number, term = 1): LogEntry[] {
  return Array.from({ length: last - first + 1 }, (_, offset) => entry(first + offset, term));
}

function batch(more: Partial<PersistEffect>): PersistEffect {
  return { type: 'persist', batch: 1, entries: [], ...more };
}

function header(index: number, term = 1): SnapshotHeader {
  return { index, term, at: index, membership: { members: [] } };
}

function namesOf(store: LogStore): string[] {
  return store.restored.entries.map(({ index, term }) => `${index}.${term}`);
}

/** Writes batches that come together. */
async function writeAll(store: LogStore, batches: readonly PersistEffect[]): Promise<void> {
  await Promise.all(batches.map((one) => store.write(one)));
}

const DATA = new Uint8Array([1, 2, 3]);

test('What was written is there again, and each run has a number of its own', async (context) => {
  const options = optionsFor(await temporaryFolder(context));
  const first = await LogStore.open(options);
  await writeAll(first, [
    batch({ vote: { term: 1, votedFor: 'x' }, entries: entries(1, 5) }),
    batch({ truncateFrom: 4, entries: [entry(4, 2)] }),
  ]);
  await first.close();
  const second = await LogStore.open(options);
  assert.deepEqual(namesOf(second), ['1.1', '2.1', '3.1', '4.2']);
  assert.deepEqual(second.restored.entries[3], entry(4, 2));
  assert.equal(second.restored.term, 1);
  assert.equal(second.restored.votedFor, 'x');
  assert.equal(second.restored.self.identity, first.restored.self.identity);
  assert.deepEqual(
    [first, second].map((store) => store.restored.self.run.count),
    [1, 2],
  );
  await second.close();
});

test('Batches that come together share one sync', async () => {
  const fileSystem = new MemoryFileSystem();
  const store = await LogStore.open(optionsFor('/data', { fileSystem }));
  await writeAll(store, [batch({ entries: [entry(1)] })]);
  const before = fileSystem.syncCount;
  await writeAll(
    store,
    entries(2, 50).map((one) => batch({ entries: [one] })),
  );
  assert.equal(fileSystem.syncCount - before, 1);
});

async function twoFrames(folder: string): Promise<{ path: string; firstEnd: number; end: number }> {
  const store = await LogStore.open(optionsFor(folder));
  await writeAll(store, [batch({ entries: entries(1, 2) })]);
  const name = (await readdir(folder)).find((file) => file.startsWith('log-'));
  const path = join(folder, name ?? '');
  const firstEnd = (await readFile(path)).length;
  await writeAll(store, [batch({ entries: entries(3, 4) })]);
  await store.close();
  return { path, firstEnd, end: (await readFile(path)).length };
}

test('An unfinished frame at the end is cut off, wherever it stops', async (context) => {
  // The process dies while it writes a batch. Nothing of the batch was acknowledged. After the
  // restart the log ends before the batch, the operator is told, and writing goes on.
  const folder = await temporaryFolder(context);
  const { path, firstEnd, end } = await twoFrames(folder);
  const whole = await readFile(path);
  for (let length = firstEnd + 1; length < end; length += 1) {
    await writeFile(path, whole);
    await truncate(path, length);
    const options = optionsFor(folder);
    const store = await LogStore.open(options);
    assert.deepEqual(namesOf(store), ['1.1', '2.1']);
    assert.equal(options.notices[0]?.type, 'tornTailCut');
    await writeAll(store, [batch({ entries: [entry(3, 2)] })]);
    await store.close();
    const again = await LogStore.open(optionsFor(folder));
    assert.deepEqual(namesOf(again), ['1.1', '2.1', '3.2']);
    await again.close();
  }
});

test('Damage before the end stops the store with file and offset', async (context) => {
  // A byte that was synced and acknowledged has changed. Cutting the log there would lose what
  // callers were promised, so the store doesn't start and says where the damage is.
  const folder = await temporaryFolder(context);
  const { path, firstEnd } = await twoFrames(folder);
  const whole = await readFile(path);
  for (let position = 0; position < firstEnd; position += 1) {
    const damaged = Buffer.from(whole);
    damaged[position] = 255 - (damaged[position] ?? 0);
    await writeFile(path, damaged);
    await assert.rejects(LogStore.open(optionsFor(folder)), /damaged in log-.* at offset 0/);
  }
});

test('A full disk turns the log read-only and loses nothing acknowledged', async () => {
  // The disk fills up in the middle of a batch. The batch is not acknowledged and no later one is
  // taken, also if space comes back; after a restart all acknowledged entries are there.
  const fileSystem = new MemoryFileSystem();
  const options = optionsFor('/data', { fileSystem });
  const store = await LogStore.open(options);
  await writeAll(store, [batch({ entries: entries(1, 3) })]);
  fileSystem.freeBytes = 20;
  await assert.rejects(writeAll(store, [batch({ entries: entries(4, 9) })]), /read-only: ENOSPC/);
  assert.equal(store.readOnly, true);
  assert.equal(options.notices.at(-1)?.type, 'diskFull');
  fileSystem.freeBytes = Number.POSITIVE_INFINITY;
  await assert.rejects(writeAll(store, [batch({ entries: entries(4, 9) })]), /read-only/);
  await store.close();
  const again = await LogStore.open(options);
  assert.deepEqual(namesOf(again), ['1.1', '2.1', '3.1']);
});

test('Segments below a snapshot go, and the log stays bounded', async (context) => {
  const folder = await temporaryFolder(context);
  const options = optionsFor(folder, { segmentBytes: 200 });
  const store = await LogStore.open(options);
  for (let index = 1; index <= 60; index += 1) {
    await writeAll(store, [batch({ entries: [entry(index)] })]);
    if (index % 10 === 0) {
      await store.saveSnapshot({ header: header(index), data: DATA });
      await store.discardLog(index);
    }
  }
  await writeAll(store, [batch({ entries: entries(61, 62) })]);
  await store.close();
  const segments = (await readdir(folder)).filter((name) => name.startsWith('log-'));
  assert.ok(segments.length <= 3, segments.join());
  const again = await LogStore.open(options);
  assert.deepEqual(namesOf(again), ['61.1', '62.1']);
  assert.deepEqual(again.restored.snapshot, header(60));
  assert.deepEqual(new Uint8Array((await again.readSnapshot())?.data ?? []), DATA);
  await again.close();
});

test('A snapshot of our own does not replace a newer one that came in', async () => {
  // A snapshot is asked for, and before it is saved a newer one comes in from the leader. Saved
  // last, the older one would stand before a log that begins after the newer one.
  const fileSystem = new MemoryFileSystem();
  const options = optionsFor('/data', { fileSystem });
  const store = await LogStore.open(options);
  const newer = { header: header(20, 5), data: DATA };
  await writeAll(store, [batch({ snapshot: newer }), batch({ entries: entries(21, 22, 5) })]);
  await store.saveSnapshot({ header: header(10), data: DATA });
  await store.close();
  const again = await LogStore.open(options);
  assert.deepEqual(again.restored.snapshot, header(20, 5));
  assert.deepEqual(namesOf(again), ['21.5', '22.5']);
  await again.close();
});

test('A file that is gone stops the store', async (context) => {
  // Someone has removed a file. Without it the store would start with less than it has promised,
  // and count as a copy of what it no longer holds.
  const folder = await temporaryFolder(context);
  const store = await LogStore.open(optionsFor(folder));
  await writeAll(store, [batch({ entries: entries(1, 3) })]);
  await store.saveSnapshot({ header: header(2), data: DATA });
  await store.close();
  for (const kind of ['identity', 'state-', 'log-']) {
    const name = (await readdir(folder)).find((file) => file.startsWith(kind)) ?? '';
    const content = await readFile(join(folder, name));
    await rm(join(folder, name));
    await assert.rejects(LogStore.open(optionsFor(folder)), /missing/);
    await writeFile(join(folder, name), content);
  }
  await (await LogStore.open(optionsFor(folder))).close();
});

test('A second process is kept off the folder, a stale lock is not in the way', async (context) => {
  const folder = await temporaryFolder(context);
  const boot = (await readFile('/proc/sys/kernel/random/boot_id', 'utf8')).trim();
  const dead = { pid: 1, startedAt: 'before', boot };
  await writeFile(join(folder, 'lock-7'), encodeFrame(dead));
  await writeFile(join(folder, 'lock-8'), encodeFrame({ ...dead, boot: 'earlier' }));
  const store = await LogStore.open(optionsFor(folder));
  await assert.rejects(LogStore.open(optionsFor(folder)), /uses the data folder/);
  await store.close();
  assert.deepEqual(
    (await readdir(folder)).filter((name) => name.startsWith('lock')),
    [],
  );
});

test('A folder of another cluster or instance is refused; a renewed one is empty', async (context) => {
  const folder = await temporaryFolder(context);
  const store = await LogStore.open(optionsFor(folder));
  await writeAll(store, [batch({ vote: { term: 3 }, entries: entries(1, 3, 3) })]);
  await store.close();
  await assert.rejects(
    LogStore.open(optionsFor(folder, { cluster: 'other' })),
    /in the cluster test/,
  );
  await assert.rejects(LogStore.open(optionsFor(folder, { instance: 'b' })), /it is of a in/);
  await renewIdentity(optionsFor(folder));
  const renewed = await LogStore.open(optionsFor(folder));
  assert.notEqual(renewed.restored.self.identity, store.restored.self.identity);
  assert.deepEqual([renewed.restored.term, namesOf(renewed)], [0, []]);
  await renewed.close();
});

interface ScriptStep {
  write(store: LogStore): Promise<void>;
  readonly installs?: boolean;
  /** Term, snapshot and entries afterwards. */
  readonly after: readonly [number, number, readonly string[]];
}

const script: readonly ScriptStep[] = [
  {
    write: (store) => writeAll(store, [batch({ vote: { term: 1 }, entries: entries(1, 4) })]),
    after: [1, 0, ['1.1', '2.1', '3.1', '4.1']],
  },
  {
    write: (store) =>
      writeAll(store, [batch({ truncateFrom: 3, entries: entries(3, 6, 2), vote: { term: 2 } })]),
    after: [2, 0, ['1.1', '2.1', '3.2', '4.2', '5.2', '6.2']],
  },
  {
    write: (store) => store.saveSnapshot({ header: header(4, 2), data: DATA }),
    after: [2, 4, ['5.2', '6.2']],
  },
  { write: (store) => store.discardLog(4), after: [2, 4, ['5.2', '6.2']] },
  {
    write: (store) =>
      writeAll(store, [
        batch({ vote: { term: 5 }, snapshot: { header: header(20, 5), data: DATA } }),
        batch({ entries: entries(21, 22, 5) }),
      ]),
    installs: true,
    after: [5, 20, ['21.5', '22.5']],
  },
  // A snapshot may be ahead of what this disk has of the log.
  {
    write: (store) => store.saveSnapshot({ header: header(30, 5), data: DATA }),
    after: [5, 30, []],
  },
];

function stateOf(store: LogStore): readonly [number, number, readonly string[]] {
  const { term, snapshot } = store.restored;
  return [term, snapshot?.index ?? 0, namesOf(store)];
}

async function runScript(options: LogStoreOptions): Promise<number> {
  let done = -1;
  try {
    const store = await LogStore.open(options);
    for (const step of script) {
      await step.write(store);
      done += 1;
    }
  } catch {
    return done;
  }
  return done;
}

/** What is wrong with what a store has read, if the power went after `done` steps. */
function findLoss(store: LogStore, done: number): string | undefined {
  const [term, snapshot, names] = stateOf(store);
  const before = script[done]?.after ?? [0, 0, []];
  const step = script[done + 1];
  const after = step?.after ?? before;
  if (term !== before[0] && term !== after[0]) return `term ${term}`;
  if (snapshot !== before[1] && snapshot !== after[1]) return `snapshot ${snapshot}`;
  // A snapshot that came in may be there while the entries behind it are not.
  const installed = step?.installs === true && snapshot === after[1] && names.length === 0;
  const allowed = snapshot === before[1] ? [before[2], after[2]] : [after[2]];
  const whole = allowed.some((list) => list.join() === names.join());
  return whole || installed ? undefined : `entries ${names.join()}`;
}

/** Lets the power go at each file operation of the script in turn. */
async function cutPowerEverywhere(
  leftover: SurvivingWrites,
  syncsIgnored: boolean,
): Promise<number> {
  for (let failFrom = 1; ; failFrom += 1) {
    const fileSystem = new MemoryFileSystem();
    fileSystem.ignoresSyncs = syncsIgnored;
    fileSystem.failFromOperation = failFrom;
    const options = optionsFor('/data', { fileSystem, segmentBytes: 150 });
    const done = await runScript(options);
    if (fileSystem.operationCount < failFrom) return failFrom - 1;
    fileSystem.cutPower(leftover);
    const store = await LogStore.open(options);
    assert.equal(findLoss(store, done), undefined, `power cut at operation ${failFrom}`);
    const { entries: kept, snapshot } = store.restored;
    const next = (kept.at(-1)?.index ?? snapshot?.index ?? 0) + 1;
    await writeAll(store, [batch({ entries: [entry(next, 9)] })]);
    await store.close();
    const again = await LogStore.open(options);
    assert.deepEqual(namesOf(again), [...namesOf(store), `${next}.9`]);
  }
}

for (const leftover of ['nothing', 'half', 'everything'] satisfies SurvivingWrites[]) {
  test(`Power may go at any operation, with ${leftover} of the unsynced left`, async (context) => {
    // The power goes at each file operation in turn. After the restart the log opens, everything
    // acknowledged before is there, and what was under way is there as far as its parts go.
    const cuts = await cutPowerEverywhere(leftover, false);
    context.diagnostic(`${cuts} power cuts`);
    assert.ok(cuts > 50);
  });
}

test('A sync that does nothing would be noticed', async () => {
  // The same on a disk that forgets what it said was synced: the check must find a loss.
  await assert.rejects(cutPowerEverywhere('nothing', true), /power cut at operation|damaged/);
});

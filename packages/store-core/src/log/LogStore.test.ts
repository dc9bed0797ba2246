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

type OptionsWithNotices = LogStoreOptions & { readonly notices: LogNotice[] };

function makeOptions(folder: string, overrides: Partial<LogStoreOptions> = {}): OptionsWithNotices {
  const notices: LogNotice[] = [];
  const onNotice = (notice: LogNotice) => notices.push(notice);
  return { folder, cluster: 'test', instance: 'a', onNotice, notices, ...overrides };
}

async function makeTemporaryFolder(context: TestContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'hornbeampond-log-'));
  context.after(() => rm(folder, { recursive: true }));
  return folder;
}

function makeEntry(index: number, term = 1): LogEntry {
  return { index, term, at: index, body: { type: 'command', command: `write ${index}` } };
}

function makeEntries(first: number, last: number, term = 1): LogEntry[] {
  return Array.from({ length: last - first + 1 }, (_, offset) => makeEntry(first + offset, term));
}

function makeBatch(overrides: Partial<PersistEffect>): PersistEffect {
  return { type: 'persist', batch: 1, entries: [], ...overrides };
}

function makeHeader(index: number, term = 1): SnapshotHeader {
  return { index, term, at: index, membership: { members: [] } };
}

function listEntryNames(store: LogStore): string[] {
  return store.restored.entries.map(({ index, term }) => `${index}.${term}`);
}

/** Writes several batches without waiting in between. */
async function writeTogether(store: LogStore, batches: readonly PersistEffect[]): Promise<void> {
  await Promise.all(batches.map((batch) => store.write(batch)));
}

const SNAPSHOT_DATA = new Uint8Array([1, 2, 3]);

test('Writes survive a restart, and each run has its own number', async (context) => {
  const options = makeOptions(await makeTemporaryFolder(context));
  const first = await LogStore.open(options);
  await writeTogether(first, [
    makeBatch({ vote: { term: 1, votedFor: 'x' }, entries: makeEntries(1, 5) }),
    makeBatch({ truncateFrom: 4, entries: [makeEntry(4, 2)] }),
  ]);
  await first.close();
  const second = await LogStore.open(options);
  assert.deepEqual(listEntryNames(second), ['1.1', '2.1', '3.1', '4.2']);
  assert.deepEqual(second.restored.entries[3], makeEntry(4, 2));
  assert.equal(second.restored.term, 1);
  assert.equal(second.restored.votedFor, 'x');
  assert.equal(second.restored.self.identity, first.restored.self.identity);
  assert.deepEqual(
    [first, second].map((store) => store.restored.self.run.count),
    [1, 2],
  );
  await second.close();
});

test('Batches that are written together share one sync', async () => {
  const fileSystem = new MemoryFileSystem();
  const store = await LogStore.open(makeOptions('/data', { fileSystem }));
  await writeTogether(store, [makeBatch({ entries: [makeEntry(1)] })]);
  const syncsBefore = fileSystem.syncCount;
  await writeTogether(
    store,
    makeEntries(2, 50).map((entry) => makeBatch({ entries: [entry] })),
  );
  assert.equal(fileSystem.syncCount - syncsBefore, 1);
});

async function writeTwoFrames(
  folder: string,
): Promise<{ path: string; firstFrameEnd: number; fileLength: number }> {
  const store = await LogStore.open(makeOptions(folder));
  await writeTogether(store, [makeBatch({ entries: makeEntries(1, 2) })]);
  const name = (await readdir(folder)).find((file) => file.startsWith('log-'));
  const path = join(folder, name ?? '');
  const firstFrameEnd = (await readFile(path)).length;
  await writeTogether(store, [makeBatch({ entries: makeEntries(3, 4) })]);
  await store.close();
  return { path, firstFrameEnd, fileLength: (await readFile(path)).length };
}

test('An incomplete last frame is truncated, whatever its length', async (context) => {
  // Guards against a store that cannot start, or restores half a batch, after a crash during a
  // write.
  const folder = await makeTemporaryFolder(context);
  const { path, firstFrameEnd, fileLength } = await writeTwoFrames(folder);
  const originalContent = await readFile(path);
  for (let length = firstFrameEnd + 1; length < fileLength; length += 1) {
    await writeFile(path, originalContent);
    await truncate(path, length);
    const options = makeOptions(folder);
    const store = await LogStore.open(options);
    assert.deepEqual(listEntryNames(store), ['1.1', '2.1']);
    assert.equal(options.notices[0]?.type, 'tornTailCut');
    await writeTogether(store, [makeBatch({ entries: [makeEntry(3, 2)] })]);
    await store.close();
    const reopened = await LogStore.open(makeOptions(folder));
    assert.deepEqual(listEntryNames(reopened), ['1.1', '2.1', '3.2']);
    await reopened.close();
  }
});

test('Damage before the last frame is reported with file and offset on start', async (context) => {
  // Guards against truncating the log at a damaged frame, which would lose acknowledged entries.
  const folder = await makeTemporaryFolder(context);
  const { path, firstFrameEnd } = await writeTwoFrames(folder);
  const originalContent = await readFile(path);
  for (let position = 0; position < firstFrameEnd; position += 1) {
    const damaged = Buffer.from(originalContent);
    damaged[position] = 255 - (damaged[position] ?? 0);
    await writeFile(path, damaged);
    await assert.rejects(LogStore.open(makeOptions(folder)), /damaged in log-.* at offset 0/);
  }
});

test('A full disk makes the log read-only and loses no acknowledged entry', async () => {
  // Guards against accepting batches after a failed one, even once the disk has space again.
  const fileSystem = new MemoryFileSystem();
  const options = makeOptions('/data', { fileSystem });
  const store = await LogStore.open(options);
  await writeTogether(store, [makeBatch({ entries: makeEntries(1, 3) })]);
  fileSystem.freeBytes = 20;
  await assert.rejects(
    writeTogether(store, [makeBatch({ entries: makeEntries(4, 9) })]),
    /read-only: ENOSPC/,
  );
  assert.equal(store.readOnly, true);
  assert.equal(options.notices.at(-1)?.type, 'diskFull');
  fileSystem.freeBytes = Number.POSITIVE_INFINITY;
  await assert.rejects(
    writeTogether(store, [makeBatch({ entries: makeEntries(4, 9) })]),
    /read-only/,
  );
  await store.close();
  const reopened = await LogStore.open(options);
  assert.deepEqual(listEntryNames(reopened), ['1.1', '2.1', '3.1']);
});

test('Segments covered by a snapshot are removed, which bounds the log', async (context) => {
  const folder = await makeTemporaryFolder(context);
  const options = makeOptions(folder, { segmentBytes: 200 });
  const store = await LogStore.open(options);
  for (let index = 1; index <= 60; index += 1) {
    await writeTogether(store, [makeBatch({ entries: [makeEntry(index)] })]);
    if (index % 10 === 0) {
      await store.saveSnapshot({ header: makeHeader(index), data: SNAPSHOT_DATA });
      await store.discardLog(index);
    }
  }
  await writeTogether(store, [makeBatch({ entries: makeEntries(61, 62) })]);
  await store.close();
  const segments = (await readdir(folder)).filter((name) => name.startsWith('log-'));
  assert.ok(segments.length <= 3, segments.join());
  const reopened = await LogStore.open(options);
  assert.deepEqual(listEntryNames(reopened), ['61.1', '62.1']);
  assert.deepEqual(reopened.restored.snapshot, makeHeader(60));
  assert.deepEqual(new Uint8Array((await reopened.readSnapshot())?.data ?? []), SNAPSHOT_DATA);
  await reopened.close();
});

test('A snapshot taken here does not replace a newer one from the leader', async () => {
  // Guards against an older snapshot overwriting a newer one, which would leave a gap between the
  // snapshot and the first log entry.
  const fileSystem = new MemoryFileSystem();
  const options = makeOptions('/data', { fileSystem });
  const store = await LogStore.open(options);
  const newer = { header: makeHeader(20, 5), data: SNAPSHOT_DATA };
  await writeTogether(store, [
    makeBatch({ snapshot: newer }),
    makeBatch({ entries: makeEntries(21, 22, 5) }),
  ]);
  await store.saveSnapshot({ header: makeHeader(10), data: SNAPSHOT_DATA });
  await store.close();
  const reopened = await LogStore.open(options);
  assert.deepEqual(reopened.restored.snapshot, makeHeader(20, 5));
  assert.deepEqual(listEntryNames(reopened), ['21.5', '22.5']);
  await reopened.close();
});

test('A missing identity, state or log file keeps the store from starting', async (context) => {
  // Guards against a store that rejoins under its old identity after losing entries that it
  // acknowledged.
  const folder = await makeTemporaryFolder(context);
  const store = await LogStore.open(makeOptions(folder));
  await writeTogether(store, [makeBatch({ entries: makeEntries(1, 3) })]);
  await store.saveSnapshot({ header: makeHeader(2), data: SNAPSHOT_DATA });
  await store.close();
  for (const kind of ['identity', 'state-', 'log-']) {
    const name = (await readdir(folder)).find((file) => file.startsWith(kind)) ?? '';
    const content = await readFile(join(folder, name));
    await rm(join(folder, name));
    await assert.rejects(LogStore.open(makeOptions(folder)), /missing/);
    await writeFile(join(folder, name), content);
  }
  await (await LogStore.open(makeOptions(folder))).close();
});

test('A folder in use cannot be opened a second time, and stale locks are ignored', async (context) => {
  const folder = await makeTemporaryFolder(context);
  const boot = (await readFile('/proc/sys/kernel/random/boot_id', 'utf8')).trim();
  const deadOwner = { pid: 1, startedAt: 'before', boot };
  await writeFile(join(folder, 'lock-7'), encodeFrame(deadOwner));
  await writeFile(join(folder, 'lock-8'), encodeFrame({ ...deadOwner, boot: 'earlier' }));
  const store = await LogStore.open(makeOptions(folder));
  await assert.rejects(LogStore.open(makeOptions(folder)), /uses the data folder/);
  await store.close();
  assert.deepEqual(
    (await readdir(folder)).filter((name) => name.startsWith('lock')),
    [],
  );
});

test('A folder of another cluster or instance is refused; with a new identity it opens empty', async (context) => {
  const folder = await makeTemporaryFolder(context);
  const store = await LogStore.open(makeOptions(folder));
  await writeTogether(store, [makeBatch({ vote: { term: 3 }, entries: makeEntries(1, 3, 3) })]);
  await store.close();
  await assert.rejects(LogStore.open(makeOptions(folder, { cluster: 'other' })), /of cluster test/);
  await assert.rejects(
    LogStore.open(makeOptions(folder, { instance: 'b' })),
    /the file belongs to instance a/,
  );
  await renewIdentity(makeOptions(folder));
  const renewed = await LogStore.open(makeOptions(folder));
  assert.notEqual(renewed.restored.self.identity, store.restored.self.identity);
  assert.deepEqual([renewed.restored.term, listEntryNames(renewed)], [0, []]);
  await renewed.close();
});

interface ScriptStep {
  write(store: LogStore): Promise<void>;
  readonly installsSnapshot?: boolean;
  /** Term, index of the snapshot and names of the entries after the step. */
  readonly expected: readonly [number, number, readonly string[]];
}

const script: readonly ScriptStep[] = [
  {
    write: (store) =>
      writeTogether(store, [makeBatch({ vote: { term: 1 }, entries: makeEntries(1, 4) })]),
    expected: [1, 0, ['1.1', '2.1', '3.1', '4.1']],
  },
  {
    write: (store) =>
      writeTogether(store, [
        makeBatch({ truncateFrom: 3, entries: makeEntries(3, 6, 2), vote: { term: 2 } }),
      ]),
    expected: [2, 0, ['1.1', '2.1', '3.2', '4.2', '5.2', '6.2']],
  },
  {
    write: (store) => store.saveSnapshot({ header: makeHeader(4, 2), data: SNAPSHOT_DATA }),
    expected: [2, 4, ['5.2', '6.2']],
  },
  { write: (store) => store.discardLog(4), expected: [2, 4, ['5.2', '6.2']] },
  {
    write: (store) =>
      writeTogether(store, [
        makeBatch({
          vote: { term: 5 },
          snapshot: { header: makeHeader(20, 5), data: SNAPSHOT_DATA },
        }),
        makeBatch({ entries: makeEntries(21, 22, 5) }),
      ]),
    installsSnapshot: true,
    expected: [5, 20, ['21.5', '22.5']],
  },
  // A snapshot may cover entries that the log on this disk does not have yet.
  {
    write: (store) => store.saveSnapshot({ header: makeHeader(30, 5), data: SNAPSHOT_DATA }),
    expected: [5, 30, []],
  },
];

function describeState(store: LogStore): readonly [number, number, readonly string[]] {
  const { term, snapshot } = store.restored;
  return [term, snapshot?.index ?? 0, listEntryNames(store)];
}

/** Returns the index of the last step that succeeded, or -1. */
async function runScript(options: LogStoreOptions): Promise<number> {
  let lastDoneStep = -1;
  try {
    const store = await LogStore.open(options);
    for (const step of script) {
      await step.write(store);
      lastDoneStep += 1;
    }
  } catch {
    return lastDoneStep;
  }
  return lastDoneStep;
}

/**
 * Describes how a store differs from what is allowed after a power cut in the step after
 * `lastDoneStep`.
 */
function findMismatch(store: LogStore, lastDoneStep: number): string | undefined {
  const [term, snapshot, entryNames] = describeState(store);
  const before = script[lastDoneStep]?.expected ?? [0, 0, []];
  const step = script[lastDoneStep + 1];
  const after = step?.expected ?? before;
  if (term !== before[0] && term !== after[0]) return `term ${term}`;
  if (snapshot !== before[1] && snapshot !== after[1]) return `snapshot ${snapshot}`;
  // An installed snapshot may be on disk while the entries after it are not.
  const hasOnlyNewSnapshot =
    step?.installsSnapshot === true && snapshot === after[1] && entryNames.length === 0;
  const allowedEntryNames = snapshot === before[1] ? [before[2], after[2]] : [after[2]];
  const hasAllowedEntries = allowedEntryNames.some(
    (expectedNames) => expectedNames.join() === entryNames.join(),
  );
  return hasAllowedEntries || hasOnlyNewSnapshot ? undefined : `entries ${entryNames.join()}`;
}

/** Runs the script with a power cut at each file operation in turn; returns their number. */
async function cutPowerAtEachOperation(
  survivingWrites: SurvivingWrites,
  ignoresSyncs: boolean,
): Promise<number> {
  for (let failFromOperation = 1; ; failFromOperation += 1) {
    const fileSystem = new MemoryFileSystem();
    fileSystem.ignoresSyncs = ignoresSyncs;
    fileSystem.failFromOperation = failFromOperation;
    const options = makeOptions('/data', { fileSystem, segmentBytes: 150 });
    const lastDoneStep = await runScript(options);
    if (fileSystem.operationCount < failFromOperation) return failFromOperation - 1;
    fileSystem.cutPower(survivingWrites);
    const store = await LogStore.open(options);
    assert.equal(
      findMismatch(store, lastDoneStep),
      undefined,
      `power cut at operation ${failFromOperation}`,
    );
    const { entries: keptEntries, snapshot } = store.restored;
    const nextIndex = (keptEntries.at(-1)?.index ?? snapshot?.index ?? 0) + 1;
    await writeTogether(store, [makeBatch({ entries: [makeEntry(nextIndex, 9)] })]);
    await store.close();
    const reopened = await LogStore.open(options);
    assert.deepEqual(listEntryNames(reopened), [...listEntryNames(store), `${nextIndex}.9`]);
  }
}

for (const survivingWrites of ['nothing', 'half', 'everything'] satisfies SurvivingWrites[]) {
  test(`No power cut loses an acknowledged write (${survivingWrites} of the unsynced data survives)`, async (context) => {
    const cutCount = await cutPowerAtEachOperation(survivingWrites, false);
    context.diagnostic(`${cutCount} power cuts`);
    assert.ok(cutCount > 50);
  });
}

test('The power cut test detects a disk that ignores syncs', async () => {
  await assert.rejects(cutPowerAtEachOperation('nothing', true), /power cut at operation|damaged/);
});

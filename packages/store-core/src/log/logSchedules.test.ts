import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { PersistEffect } from '../consensus/consensusEvents.js';
import type { LogEntry, SnapshotHeader } from '../consensus/consensusTypes.js';
import {
  saveSnapshot,
  makeEmptyDisk,
  writeBatch,
  type ModelDisk,
  type SavedSnapshot,
} from '../consensus/testing/modelDisk.js';
import { LogStore } from './LogStore.js';
import { MemoryFileSystem, type SurvivingWrites } from './testing/MemoryFileSystem.js';

const kinds = ['append', 'conflict', 'ownSnapshot', 'installed', 'vote'] as const;
const leftovers: readonly SurvivingWrites[] = ['nothing', 'half', 'everything'];

interface Pick {
  readonly kind: (typeof kinds)[number];
  readonly count: number;
  /** True if the power goes during this write. */
  readonly cut: boolean;
  readonly failAfter: number;
  readonly leftover: SurvivingWrites;
}

const picks = fc.array(
  fc.record({
    kind: fc.constantFrom(...kinds),
    count: fc.integer({ min: 1, max: 5 }),
    cut: fc.boolean(),
    failAfter: fc.integer({ min: 1, max: 12 }),
    leftover: fc.constantFrom(...leftovers),
  }),
  { minLength: 30, maxLength: 30 },
);

type Work =
  | { readonly type: 'batch'; readonly batch: PersistEffect }
  | { readonly type: 'snapshot'; readonly snapshot: SavedSnapshot };

function baseOf({ snapshot }: ModelDisk): number {
  return snapshot?.header.index ?? 0;
}

function lastOf(disk: ModelDisk): number {
  return disk.entries.at(-1)?.index ?? baseOf(disk);
}

function makeEntries(first: number, count: number, term: number): LogEntry[] {
  return Array.from({ length: count }, (_, offset) => ({
    index: first + offset,
    term,
    at: 0,
    body: { type: 'noOperation' },
  }));
}

function snapshotAt(index: number, term: number): SavedSnapshot {
  const header: SnapshotHeader = { index, term, at: 0, membership: { members: [] } };
  return { header, data: new Uint8Array([index]) };
}

/** A write that a voter could ask for, given what its disk holds. */
function workFor(disk: ModelDisk, { kind, count }: Pick): Work {
  const none: PersistEffect = { type: 'persist', batch: 1, entries: [] };
  const term = disk.term + 1;
  const vote = { term };
  switch (kind) {
    case 'conflict': {
      const truncateFrom = Math.max(baseOf(disk) + 1, lastOf(disk) - count + 1);
      const entries = makeEntries(truncateFrom, count, term);
      return { type: 'batch', batch: { ...none, vote, truncateFrom, entries } };
    }
    case 'ownSnapshot': {
      const inLog = disk.entries[Math.min(count, disk.entries.length) - 1];
      const snapshot = snapshotAt(inLog?.index ?? lastOf(disk) + count, inLog?.term ?? disk.term);
      return { type: 'snapshot', snapshot };
    }
    case 'installed': {
      // It may end below, at or beyond the end of a log that differs from it.
      const index = Math.max(baseOf(disk) + 1, lastOf(disk) + count - 3);
      return { type: 'batch', batch: { ...none, vote, snapshot: snapshotAt(index, term) } };
    }
    case 'vote':
      return { type: 'batch', batch: { ...none, vote: { term, votedFor: `${count}` } } };
    default: {
      const entries = makeEntries(lastOf(disk) + 1, count, disk.term);
      return { type: 'batch', batch: { ...none, entries } };
    }
  }
}

function doneOn(disk: ModelDisk, work: Work): ModelDisk {
  const next = { ...disk, entries: [...disk.entries] };
  if (work.type === 'snapshot') saveSnapshot(next, work.snapshot);
  else writeBatch(next, work.batch);
  return next;
}

async function doOn(store: LogStore, work: Work): Promise<void> {
  if (work.type === 'batch') await store.write(work.batch);
  else {
    await store.saveSnapshot(work.snapshot);
    await store.discardLog(work.snapshot.header.index);
  }
}

function describe(term: number, index: number | undefined, entries: readonly LogEntry[]): string {
  return `${term} ${index ?? 0} ${entries.map((entry) => `${entry.index}.${entry.term}`).join()}`;
}

function describeDisk({ term, snapshot, entries }: ModelDisk): string {
  return describe(term, snapshot?.header.index, entries);
}

function describeStore({ restored }: LogStore): string {
  return describe(restored.term, restored.snapshot?.index, restored.entries);
}

interface Pair {
  store: LogStore;
  disk: ModelDisk;
}

/**
 * Lets the power go during a write. Afterwards it is there as a whole or not at all, but for the
 * term, which is written first.
 */
async function cutDuring(
  pair: Pair,
  fileSystem: MemoryFileSystem,
  work: Work,
  { failAfter, leftover }: Pick,
): Promise<void> {
  const after = doneOn(pair.disk, work);
  fileSystem.failFromOperation = fileSystem.operationCount + failAfter;
  const acknowledged = await doOn(pair.store, work).then(
    () => true,
    () => false,
  );
  fileSystem.cutPower(leftover);
  pair.store = await LogStore.open(optionsOf(fileSystem));
  const read = describeStore(pair.store);
  const onlyTerm = { ...pair.disk, term: after.term };
  const allowed = acknowledged ? [after] : [pair.disk, onlyTerm, after];
  const found = allowed.find((disk) => describeDisk(disk) === read);
  assert.ok(found !== undefined, `read ${read}, had ${describeDisk(pair.disk)}`);
  pair.disk = found;
}

function optionsOf(fileSystem: MemoryFileSystem) {
  const names = { folder: '/data', cluster: 'test', instance: 'a' };
  return { ...names, onNotice: () => {}, fileSystem, segmentBytes: 300 };
}

test('The log on disk holds what the model of a disk holds, over power cuts', async (context) => {
  // Any sequence of writes, with the power going in the middle of some. After each restart the
  // store has read what the model of a disk holds, before or after the write that was under way;
  // the model check of the agreement rests on that.
  let cuts = 0;
  const property = fc.asyncProperty(picks, async (sequence) => {
    const fileSystem = new MemoryFileSystem();
    const options = optionsOf(fileSystem);
    const pair: Pair = { store: await LogStore.open(options), disk: makeEmptyDisk() };
    for (const pick of sequence) {
      const work = workFor(pair.disk, pick);
      if (pick.cut) {
        await cutDuring(pair, fileSystem, work, pick);
        cuts += 1;
      } else {
        await doOn(pair.store, work);
        pair.disk = doneOn(pair.disk, work);
      }
    }
    await pair.store.close();
    const again = await LogStore.open(options);
    assert.equal(describeStore(again), describeDisk(pair.disk));
    await again.close();
  });
  const numRuns = 300;
  await fc.assert(property, { seed: 401, numRuns, endOnFailure: true });
  context.diagnostic(`${numRuns} sequences, ${cuts} power cuts`);
});

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

const writeKinds = ['append', 'conflict', 'ownSnapshot', 'installed', 'vote'] as const;
const survivingWritesOptions: readonly SurvivingWrites[] = ['nothing', 'half', 'everything'];

interface PlannedWrite {
  readonly kind: (typeof writeKinds)[number];
  readonly count: number;
  /** True if the power is cut during this write. */
  readonly cutsPower: boolean;
  readonly failAfterOperations: number;
  readonly survivingWrites: SurvivingWrites;
}

const plannedWrites = fc.array(
  fc.record({
    kind: fc.constantFrom(...writeKinds),
    count: fc.integer({ min: 1, max: 5 }),
    cutsPower: fc.boolean(),
    failAfterOperations: fc.integer({ min: 1, max: 12 }),
    survivingWrites: fc.constantFrom(...survivingWritesOptions),
  }),
  { minLength: 30, maxLength: 30 },
);

type DiskWrite =
  | { readonly type: 'batch'; readonly batch: PersistEffect }
  | { readonly type: 'snapshot'; readonly snapshot: SavedSnapshot };

function snapshotIndexOf({ snapshot }: ModelDisk): number {
  return snapshot?.header.index ?? 0;
}

function lastIndexOf(disk: ModelDisk): number {
  return disk.entries.at(-1)?.index ?? snapshotIndexOf(disk);
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

/** Makes a write that the reducer could request, given what the disk holds. */
function makeWrite(disk: ModelDisk, { kind, count }: PlannedWrite): DiskWrite {
  const emptyBatch: PersistEffect = { type: 'persist', batch: 1, entries: [] };
  const term = disk.term + 1;
  const vote = { term };
  switch (kind) {
    case 'conflict': {
      const truncateFrom = Math.max(snapshotIndexOf(disk) + 1, lastIndexOf(disk) - count + 1);
      const entries = makeEntries(truncateFrom, count, term);
      return { type: 'batch', batch: { ...emptyBatch, vote, truncateFrom, entries } };
    }
    case 'ownSnapshot': {
      const snapshotEntry = disk.entries[Math.min(count, disk.entries.length) - 1];
      const snapshot = snapshotAt(
        snapshotEntry?.index ?? lastIndexOf(disk) + count,
        snapshotEntry?.term ?? disk.term,
      );
      return { type: 'snapshot', snapshot };
    }
    case 'installed': {
      // The snapshot may end before, at or after the end of the log, which differs from it.
      const index = Math.max(snapshotIndexOf(disk) + 1, lastIndexOf(disk) + count - 3);
      return { type: 'batch', batch: { ...emptyBatch, vote, snapshot: snapshotAt(index, term) } };
    }
    case 'vote':
      return { type: 'batch', batch: { ...emptyBatch, vote: { term, votedFor: `${count}` } } };
    default: {
      const entries = makeEntries(lastIndexOf(disk) + 1, count, disk.term);
      return { type: 'batch', batch: { ...emptyBatch, entries } };
    }
  }
}

function applyToModel(disk: ModelDisk, write: DiskWrite): ModelDisk {
  const nextDisk = { ...disk, entries: [...disk.entries] };
  if (write.type === 'snapshot') saveSnapshot(nextDisk, write.snapshot);
  else writeBatch(nextDisk, write.batch);
  return nextDisk;
}

async function applyToStore(store: LogStore, write: DiskWrite): Promise<void> {
  if (write.type === 'batch') await store.write(write.batch);
  else {
    await store.saveSnapshot(write.snapshot);
    await store.discardLog(write.snapshot.header.index);
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

interface StoreAndModel {
  store: LogStore;
  disk: ModelDisk;
}

/**
 * Cuts the power during a write and asserts that afterwards the store holds all of the write, none
 * of it, or only its term, which is written first. An acknowledged write must be there in full.
 */
async function cutPowerDuring(
  storeAndModel: StoreAndModel,
  fileSystem: MemoryFileSystem,
  write: DiskWrite,
  { failAfterOperations, survivingWrites }: PlannedWrite,
): Promise<void> {
  const diskAfter = applyToModel(storeAndModel.disk, write);
  fileSystem.failFromOperation = fileSystem.operationCount + failAfterOperations;
  const acknowledged = await applyToStore(storeAndModel.store, write).then(
    () => true,
    () => false,
  );
  fileSystem.cutPower(survivingWrites);
  storeAndModel.store = await LogStore.open(makeOptions(fileSystem));
  const storeContent = describeStore(storeAndModel.store);
  const diskWithNewTerm = { ...storeAndModel.disk, term: diskAfter.term };
  const allowedDisks = acknowledged
    ? [diskAfter]
    : [storeAndModel.disk, diskWithNewTerm, diskAfter];
  const matchingDisk = allowedDisks.find((disk) => describeDisk(disk) === storeContent);
  assert.ok(
    matchingDisk !== undefined,
    `read ${storeContent}, had ${describeDisk(storeAndModel.disk)}`,
  );
  storeAndModel.disk = matchingDisk;
}

function makeOptions(fileSystem: MemoryFileSystem) {
  const identityOptions = { folder: '/data', cluster: 'test', instance: 'a' };
  return { ...identityOptions, onNotice: () => {}, fileSystem, segmentBytes: 300 };
}

test('The log store and the disk model hold the same after any writes and power cuts', async (context) => {
  // Guards against a log store that differs from the disk model, on which the state explorer
  // relies.
  let cutCount = 0;
  const property = fc.asyncProperty(plannedWrites, async (plannedSequence) => {
    const fileSystem = new MemoryFileSystem();
    const options = makeOptions(fileSystem);
    const storeAndModel: StoreAndModel = {
      store: await LogStore.open(options),
      disk: makeEmptyDisk(),
    };
    for (const plannedWrite of plannedSequence) {
      const write = makeWrite(storeAndModel.disk, plannedWrite);
      if (plannedWrite.cutsPower) {
        await cutPowerDuring(storeAndModel, fileSystem, write, plannedWrite);
        cutCount += 1;
      } else {
        await applyToStore(storeAndModel.store, write);
        storeAndModel.disk = applyToModel(storeAndModel.disk, write);
      }
    }
    await storeAndModel.store.close();
    const reopened = await LogStore.open(options);
    assert.equal(describeStore(reopened), describeDisk(storeAndModel.disk));
    await reopened.close();
  });
  const numRuns = 300;
  await fc.assert(property, { seed: 401, numRuns, endOnFailure: true });
  context.diagnostic(`${numRuns} sequences, ${cutCount} power cuts`);
});

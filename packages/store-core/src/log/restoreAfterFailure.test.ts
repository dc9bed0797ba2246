/** A log whose file operations fail for a while, wherever that strikes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OpenFile } from './FileSystem.js';
import { LogStore } from './LogStore.js';
import { MemoryFileSystem, type SurvivingWrites } from './testing/MemoryFileSystem.js';

const BATCHES = 12;
const SEGMENT_BYTES = 300;

const survivingWrites: readonly (SurvivingWrites | 'noPowerCut')[] = [
  'noPowerCut',
  'nothing',
  'half',
  'everything',
];

function makeOptions(fileSystem: MemoryFileSystem) {
  const identity = { folder: '/data', cluster: 'wien', instance: 'store-1' };
  return { ...identity, fileSystem, segmentBytes: SEGMENT_BYTES, onNotice: () => {} };
}

function makeEntry(index: number) {
  return { index, term: 1, at: index, body: { type: 'noop' as const } };
}

/** Writes batches until one fails; returns the index of the last entry that was acknowledged. */
async function writeUntilFailure(store: LogStore): Promise<number> {
  for (let index = 1; index <= BATCHES; index += 1) {
    const batch = {
      type: 'persist' as const,
      batch: index,
      ...(index === 1 ? { vote: { term: 1, votedFor: 'store-1' } } : {}),
      entries: [makeEntry(index)],
    };
    try {
      await store.write(batch as unknown as Parameters<LogStore['write']>[0]);
    } catch {
      return index - 1;
    }
  }
  return BATCHES;
}

async function countOperations(): Promise<{ readonly afterOpen: number; readonly all: number }> {
  const fileSystem = new MemoryFileSystem();
  const store = await LogStore.open(makeOptions(fileSystem));
  const afterOpen = fileSystem.operationCount;
  await writeUntilFailure(store);
  return { afterOpen, all: fileSystem.operationCount };
}

survivingWrites.forEach((surviving) => {
  // Guards against entries that the next run reads although their sync failed, and against acknowledged ones that are
  // lost, when the disk takes writes again.
  test(`after any failed operation the next run finds what was acknowledged (${surviving})`, async () => {
    const { afterOpen, all } = await countOperations();
    assert.ok(all - afterOpen > BATCHES);
    for (let failing = afterOpen + 1; failing <= all; failing += 1) {
      const fileSystem = new MemoryFileSystem();
      const store = await LogStore.open(makeOptions(fileSystem));
      fileSystem.failFromOperation = failing;
      const acknowledged = await writeUntilFailure(store);
      assert.equal(store.readOnly, true);
      await assert.rejects(store.restoreAfterFailure());
      fileSystem.failFromOperation = Number.POSITIVE_INFINITY;
      await store.restoreAfterFailure();
      await assert.rejects(async () =>
        store.write({ type: 'persist', batch: 0, entries: [] } as never),
      );
      await store.close();
      if (surviving !== 'noPowerCut') fileSystem.cutPower(surviving);
      const { restored } = await LogStore.open(makeOptions(fileSystem));
      const indexes = restored.entries.map(({ index }) => index);
      const expected = Array.from({ length: acknowledged }, (_, position) => position + 1);
      assert.deepEqual(indexes, expected, `operation ${failing} fails`);
    }
  });
});

interface CloseFault {
  failsNextClose: boolean;
}

class HandleOfFailingClose extends OpenFile {
  private isClosed = false;

  constructor(
    private readonly fault: CloseFault,
    private readonly file: OpenFile,
  ) {
    super();
  }

  override async write(data: Uint8Array, position: number): Promise<void> {
    this.assertOpen();
    await this.file.write(data, position);
  }

  override async sync(): Promise<void> {
    this.assertOpen();
    await this.file.sync();
  }

  override async truncate(length: number): Promise<void> {
    this.assertOpen();
    await this.file.truncate(length);
  }

  override async close(): Promise<void> {
    this.isClosed = true;
    if (!this.fault.failsNextClose) return;
    this.fault.failsNextClose = false;
    throw new Error('EIO: i/o error, close');
  }

  private assertOpen(): void {
    if (this.isClosed) throw new Error('EBADF: bad file descriptor');
  }
}

/** Fails to close a file once, after which its handle is of no more use. */
class FailingClose extends MemoryFileSystem {
  failsNextClose = false;

  override async open(path: string): Promise<OpenFile> {
    return new HandleOfFailingClose(this, await super.open(path));
  }
}

// Guards against a log that is never restored because it tries on with a handle that is closed.
test('a log is restored after the close of a segment has failed', async () => {
  const fileSystem = new FailingClose();
  const store = await LogStore.open({ ...makeOptions(fileSystem), segmentBytes: 1 });
  const write = async (index: number) =>
    store.write({
      type: 'persist',
      batch: index,
      entries: [makeEntry(index)],
    } as unknown as Parameters<LogStore['write']>[0]);
  await write(1);
  fileSystem.failsNextClose = true;
  await assert.rejects(write(2));
  await store.restoreAfterFailure();
  await store.close();
  const { restored } = await LogStore.open(makeOptions(fileSystem));
  assert.deepEqual(
    restored.entries.map(({ index }) => index),
    [1],
  );
});

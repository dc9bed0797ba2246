/** Disks whose identity was renewed, which must never look as if they had not been used. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeFrame } from './frames.js';
import { LogStore, renewIdentity, type LogStoreOptions } from './LogStore.js';
import { replaceFile } from './replaceFile.js';
import { MemoryFileSystem, type SurvivingWrites } from './testing/MemoryFileSystem.js';

const FOLDER = '/data';

function makeOptions(fileSystem: MemoryFileSystem): LogStoreOptions {
  return { folder: FOLDER, cluster: 'test', instance: 'a', onNotice: () => {}, fileSystem };
}

/** Opens and closes the disk; returns what it says of itself. */
async function inspect(fileSystem: MemoryFileSystem) {
  const store = await LogStore.open(makeOptions(fileSystem));
  const { isNew, wasUsed, restored } = store;
  await store.close();
  return { isNew, wasUsed, identity: restored.self.identity };
}

async function makeUsedDisk(): Promise<MemoryFileSystem> {
  const fileSystem = new MemoryFileSystem();
  const store = await LogStore.open(makeOptions(fileSystem));
  await store.write({ type: 'persist', batch: 1, vote: { term: 3 }, entries: [] });
  await store.close();
  return fileSystem;
}

async function removeOldFiles(fileSystem: MemoryFileSystem): Promise<void> {
  for (const name of await fileSystem.list(FOLDER)) {
    if (name !== 'identity') await fileSystem.remove(`${FOLDER}/${name}`);
  }
}

// Guards against a store that founds a second cluster after its disk was refused.
test('a renewed identity stays marked over later renewals and starts', async () => {
  const fileSystem = await makeUsedDisk();
  const before = await inspect(fileSystem);
  assert.deepEqual([before.isNew, before.wasUsed], [false, false]);
  const identities = new Set([before.identity]);
  for (let renewal = 1; renewal <= 3; renewal += 1) {
    await renewIdentity(makeOptions(fileSystem));
    await removeOldFiles(fileSystem);
    for (let start = 0; start < 2; start += 1) {
      const { isNew, wasUsed, identity } = await inspect(fileSystem);
      assert.deepEqual([isNew, wasUsed], [true, true]);
      identities.add(identity);
    }
  }
  assert.equal(identities.size, 4);
});

test('a folder with files of another identity counts as used', async () => {
  for (const kind of ['state-other', 'log-other-00000001', 'snapshot-other']) {
    const fileSystem = new MemoryFileSystem();
    assert.equal((await inspect(fileSystem)).wasUsed, false);
    await replaceFile(fileSystem, FOLDER, kind, {});
    assert.equal((await inspect(fileSystem)).wasUsed, true, kind);
  }
});

// Older versions wrote no mark, and a first start may be interrupted right after the identity was written.
test('an identity file without the mark is read as it is', async () => {
  const fileSystem = new MemoryFileSystem();
  const identity = 'disk-of-an-older-version';
  const stored = { cluster: 'test', instance: 'a', identity };
  await replaceFile(fileSystem, FOLDER, 'identity', stored);
  assert.deepEqual(await inspect(fileSystem), { isNew: true, wasUsed: false, identity });
});

// Guards against a renewal whose new identity is on the disk without its mark.
for (const survivingWrites of ['nothing', 'half', 'everything'] satisfies SurvivingWrites[]) {
  test(`a power cut in a renewal leaves the new identity with its mark, or neither (${survivingWrites} survives)`, async (context) => {
    let cuts = 0;
    for (let failAfter = 1; ; failAfter += 1) {
      const fileSystem = await makeUsedDisk();
      const before = await inspect(fileSystem);
      const operationsBefore = fileSystem.operationCount;
      fileSystem.failFromOperation = operationsBefore + failAfter;
      const hasEnded = await renewIdentity(makeOptions(fileSystem)).then(
        () => true,
        () => false,
      );
      const wasCut = fileSystem.operationCount >= operationsBefore + failAfter;
      fileSystem.cutPower(survivingWrites);
      // They would show as well that the disk was used.
      await removeOldFiles(fileSystem);
      const after = await inspect(fileSystem);
      assert.equal(after.identity !== before.identity, after.wasUsed, `operation ${failAfter}`);
      if (hasEnded) assert.equal(after.wasUsed, true);
      if (!wasCut) break;
      cuts += 1;
    }
    context.diagnostic(`${cuts} power cuts`);
    assert.ok(cuts >= 6);
  });
}

// Guards against a founder that was ended between its vote and its first entry, and would neither found nor join.
test('a disk that holds nothing but the vote of a founder counts as new', async () => {
  const fileSystem = new MemoryFileSystem();
  const store = await LogStore.open(makeOptions(fileSystem));
  const { identity } = store.restored.self;
  const vote = { term: 1, votedFor: identity };
  await store.write({ type: 'persist', batch: 1, vote, entries: [] });
  await store.close();
  assert.equal((await inspect(fileSystem)).isNew, true);
});

test('a damaged identity file keeps the disk from opening and from renewal, and is left as it is', async () => {
  const sound = encodeFrame({ cluster: 'test', instance: 'a', identity: 'x' });
  const damaged = Buffer.from(sound);
  damaged[damaged.length - 1] = 255 - (damaged.at(-1) ?? 0);
  const contents = [
    damaged,
    Buffer.from(sound).subarray(0, 9),
    Buffer.alloc(0),
    encodeFrame('no identity'),
    encodeFrame({ cluster: 'test', instance: 'a' }),
    encodeFrame({ cluster: 'test', instance: 'a', identity: 'x', isRenewed: 'maybe' }),
  ];
  for (const content of contents) {
    const fileSystem = new MemoryFileSystem();
    const file = await fileSystem.open(`${FOLDER}/identity`);
    await file.write(content, 0);
    for (const use of [LogStore.open, renewIdentity]) {
      await assert.rejects(use(makeOptions(fileSystem)), /damaged in identity/);
      assert.deepEqual(await fileSystem.list(FOLDER), ['identity']);
      const kept = await fileSystem.read(`${FOLDER}/identity`);
      assert.deepEqual(Buffer.from(kept ?? []), Buffer.from(content));
    }
  }
});

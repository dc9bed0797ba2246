/**
 * Snapshot assertions for node:test. Each test file has one snapshot file in `__snapshots__` beside
 * its source. A missing or different snapshot fails, unless `UPDATE_SNAPSHOTS=1` is set outside CI,
 * which writes it.
 */
import { basename, dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { SnapshotClient } from '@vitest/snapshot';
import { NodeSnapshotEnvironment } from '@vitest/snapshot/environment';

const client = new SnapshotClient({
  isEqual: (received: unknown, expected: unknown) => received === expected,
});

const preparations = new Map<string, Promise<void>>();

function toSourcePath(testFileUrl: string): string {
  return fileURLToPath(testFileUrl)
    .replace(/([\\/])dist([\\/])/, '$1src$2')
    .replace(/\.js$/, '.ts');
}

class SourceSnapshotEnvironment extends NodeSnapshotEnvironment {
  override async resolvePath(file: string): Promise<string> {
    return join(dirname(file), '__snapshots__', `${basename(file)}.snap`);
  }
}

function isUpdateRequested(): boolean {
  return process.env.UPDATE_SNAPSHOTS === '1' && process.env.CI === undefined;
}

async function prepare(file: string, update: boolean): Promise<void> {
  await client.setup(file, {
    updateSnapshot: update ? 'all' : 'none',
    snapshotEnvironment: new SourceSnapshotEnvironment(),
  });
  // A node:test hook registered while a test runs belongs to that test, so it would close the
  // file's snapshots after its first test.
  process.once('beforeExit', () => {
    void client.finish(file);
  });
}

/**
 * Compares `received` with the stored snapshot.
 *
 * @param testFileUrl - `import.meta.url` of the test file.
 * @param name - Key of the snapshot in its file.
 * @param update - True to write the snapshot instead; only a file's first call determines this.
 */
export async function matchSnapshot(
  testFileUrl: string,
  name: string,
  received: unknown,
  update = isUpdateRequested(),
): Promise<void> {
  const file = toSourcePath(testFileUrl);
  const ready = preparations.get(file) ?? prepare(file, update);
  preparations.set(file, ready);
  await ready;
  client.assert({ received, filepath: file, name, testId: name, assertionName: 'matchSnapshot' });
}

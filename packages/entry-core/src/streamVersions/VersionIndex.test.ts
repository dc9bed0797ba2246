import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { VersionIndex } from './VersionIndex.js';

const POOL = 'engines';

function listServers(versions: readonly string[]): BackendServerState[] {
  return versions.map((version, position) => {
    const platformInstance = { pool: POOL, version, instance: `${version}-${position}` };
    return { platformInstance } as unknown as BackendServerState;
  });
}

/** Applies one list each second, and returns when the pool last had servers of several versions. */
function lastMixedAt(lists: readonly (readonly string[])[]): number | undefined {
  const index = new VersionIndex();
  lists.forEach((versions, second) =>
    index.update(listServers(versions), { now: second * 1000, wallNow: second * 1000 }),
  );
  const seconds = lists.map((_versions, second) => second * 1000);
  return seconds.findLast((since) => index.findOnlyVersion(POOL, since) === undefined);
}

// Guards against streams that began at a version whose servers are gone, and that go on at the next one
// because no single list has shown both.
test('a pool has had several versions if one was replaced by another between two lists', () => {
  assert.equal(lastMixedAt([['v1', 'v1'], ['v1'], ['v1', 'v1']]), undefined);
  assert.equal(lastMixedAt([['v1'], ['v2'], ['v2']]), 1000);
  assert.equal(lastMixedAt([['v1'], [], ['v2'], ['v2']]), 2000);
  assert.equal(lastMixedAt([['v1', 'v2'], ['v2'], ['v2']]), 1000);
});

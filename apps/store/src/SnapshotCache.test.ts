import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService } from '@hornbeampond/testing';
import { SnapshotCache } from './SnapshotCache.js';
import type { SavedSnapshot } from './StoreDisk.js';

function snapshotAt(index: number): SavedSnapshot {
  const header = { index, term: 1, at: 0, membership: { members: [] } };
  return { header, data: new Uint8Array(8) };
}

// A laggard takes in a snapshot part by part. A newer snapshot is saved meanwhile; its parts must
// not be mixed with those of the older one, so only the snapshot that was asked for is found.
test('only the snapshot that is asked for is found', () => {
  const cache = new SnapshotCache(new ManualTimerService());
  const older = snapshotAt(10);
  cache.keep(older);
  assert.equal(cache.find(older.header), older);
  assert.equal(cache.find(snapshotAt(20).header), undefined);
  assert.equal(cache.find({ ...older.header, term: 2 }), undefined);
});

// The laggard dies in the middle. No part is asked for any more, and nothing else would let go of
// a snapshot that may be hundreds of megabytes.
test('a snapshot is let go of when no part has been asked for in a while', () => {
  const timers = new ManualTimerService();
  const cache = new SnapshotCache(timers);
  const snapshot = snapshotAt(10);
  cache.keep(snapshot);
  timers.advance(9000);
  assert.equal(cache.find(snapshot.header), snapshot);
  timers.advance(9000);
  assert.equal(cache.find(snapshot.header), snapshot);
  timers.advance(10_001);
  assert.equal(cache.find(snapshot.header), undefined);
});

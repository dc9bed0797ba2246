import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService } from '@hornbeampond/testing';
import { SnapshotCache } from './SnapshotCache.js';
import type { SavedSnapshot } from './StoreDisk.js';

function snapshotAt(index: number): SavedSnapshot {
  const header = { index, term: 1, at: 0, membership: { members: [] } };
  return { header, data: new Uint8Array(8) };
}

// A newer snapshot is saved while an older one is being sent. Guards against mixing parts of both.
test('only the snapshot with the requested header is found', () => {
  const cache = new SnapshotCache(new ManualTimerService());
  const older = snapshotAt(10);
  cache.keep(older);
  assert.equal(cache.find(older.header), older);
  assert.equal(cache.find(snapshotAt(20).header), undefined);
  assert.equal(cache.find({ ...older.header, term: 2 }), undefined);
});

// The receiver fails in the middle of a transfer. Guards against keeping a large snapshot for ever.
test('a snapshot is released when no part has been requested for a while', () => {
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

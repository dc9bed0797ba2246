import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PlatformInstance, SharedInstance } from '@hornbeampond/schema';
import { InstanceListFollower } from './InstanceListFollower.js';
import { fromSharedInstances, toSharedInstances } from './sharedInstances.js';

const engine: SharedInstance = {
  instance: 'engine-1',
  dataCentre: 'wien-a',
  instanceClass: 'reclaimable',
  pool: 'engines',
  state: 'live',
  host: '127.0.0.1',
  port: 1,
};

test('the list is built from the initial list and deltas', () => {
  const follower = new InstanceListFollower();
  follower.reset([engine, { ...engine, instance: 'engine-2' }]);
  const leaving = { ...engine, state: 'leaving' as const };
  assert.deepEqual(follower.applyDelta({ changed: [leaving], gone: ['engine-2'] }), [leaving]);
});

// A store that has just started has no list; its first delta then contains the complete list.
test('the list is reset on a switch to another store', () => {
  const follower = new InstanceListFollower();
  follower.reset([engine]);
  follower.reset(undefined);
  const other = { ...engine, instance: 'engine-2' };
  assert.deepEqual(follower.applyDelta({ changed: [other], gone: [] }), [other]);
});

// The wall clocks of two processes differ by two seconds. An end sent as a timestamp would be
// off by that difference.
test('the end of an instance is sent as a remaining duration', () => {
  const read: PlatformInstance = { ...engine, goneAt: 10_000 };
  const [shared] = toSharedInstances([read], 8000);
  assert.equal(shared?.goneIn, 2000);
  assert.equal(fromSharedInstances([shared ?? engine], 6000)[0]?.goneAt, 8000);
});

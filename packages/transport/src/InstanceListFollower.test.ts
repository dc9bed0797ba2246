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

test('the list is put together from what a store has and what changes', () => {
  const follower = new InstanceListFollower();
  follower.reset([engine, { ...engine, instance: 'engine-2' }]);
  const leaving = { ...engine, state: 'leaving' as const };
  assert.deepEqual(follower.applyDelta({ changed: [leaving], gone: ['engine-2'] }), [leaving]);
});

// The store has just started and knows no list yet; its first reading is told as a whole.
test('a list begins anew with another store', () => {
  const follower = new InstanceListFollower();
  follower.reset([engine]);
  follower.reset(undefined);
  const other = { ...engine, instance: 'engine-2' };
  assert.deepEqual(follower.applyDelta({ changed: [other], gone: [] }), [other]);
});

// The wall clocks of reader and entry are two seconds apart. An end told as a time would be taken for
// past, or for far off.
test('the end of an instance is told as a span', () => {
  const read: PlatformInstance = { ...engine, goneAt: 10_000 };
  const [shared] = toSharedInstances([read], 8000);
  assert.equal(shared?.goneIn, 2000);
  assert.equal(fromSharedInstances([shared ?? engine], 6000)[0]?.goneAt, 8000);
});

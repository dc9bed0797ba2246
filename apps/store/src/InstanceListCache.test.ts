import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SharedInstance } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { InstanceListCache } from './InstanceListCache.js';

function makeInstance(instance: string, fields: Partial<SharedInstance> = {}): SharedInstance {
  return {
    instance,
    dataCentre: 'wien-a',
    instanceClass: 'reclaimable',
    pool: 'engines',
    state: 'live',
    host: '127.0.0.1',
    port: 1,
    ...fields,
  };
}

test('an update returns only the differences from the previous list', () => {
  const cache = new InstanceListCache(new ManualTimerService());
  cache.update([makeInstance('a'), makeInstance('b'), makeInstance('c')]);
  const leaving = makeInstance('b', { state: 'leaving', goneIn: 2500 });
  assert.deepEqual(cache.update([makeInstance('a'), leaving]), { changed: [leaving], gone: ['c'] });
  assert.deepEqual(cache.update([makeInstance('a'), leaving]), { changed: [], gone: [] });
});

test('the latest list is returned with its age', () => {
  const timers = new ManualTimerService();
  const cache = new InstanceListCache(timers);
  assert.equal(cache.latest, undefined);
  cache.update([makeInstance('a')]);
  timers.advance(700);
  assert.deepEqual(cache.latest, { instances: [makeInstance('a')], instancesAge: 700 });
});

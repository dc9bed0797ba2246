import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SharedInstance } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { InstanceListCache } from './InstanceListCache.js';

function listed(instance: string, fields: Partial<SharedInstance> = {}): SharedInstance {
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

test('only what a reading has changed is told', () => {
  const board = new InstanceListCache(new ManualTimerService());
  board.update([listed('a'), listed('b'), listed('c')]);
  const leaving = listed('b', { state: 'leaving', goneIn: 2500 });
  assert.deepEqual(board.update([listed('a'), leaving]), { changed: [leaving], gone: ['c'] });
  assert.deepEqual(board.update([listed('a'), leaving]), { changed: [], gone: [] });
});

test('a subscriber is told the last reading and its age', () => {
  const timers = new ManualTimerService();
  const board = new InstanceListCache(timers);
  assert.equal(board.latest, undefined);
  board.update([listed('a')]);
  timers.advance(700);
  assert.deepEqual(board.latest, { instances: [listed('a')], instancesAge: 700 });
});

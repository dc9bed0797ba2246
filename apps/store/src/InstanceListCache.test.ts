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
  assert.deepEqual(cache.update([makeInstance('a'), leaving]), {
    readAt: undefined,
    changed: [leaving],
    gone: ['c'],
  });
  assert.deepEqual(cache.update([makeInstance('a'), leaving]), {
    readAt: undefined,
    changed: [],
    gone: [],
  });
});

test('the latest list is returned with its age', () => {
  const timers = new ManualTimerService();
  const cache = new InstanceListCache(timers);
  assert.equal(cache.latest, undefined);
  cache.update([makeInstance('a')]);
  timers.advance(700);
  assert.deepEqual(cache.latest, {
    instances: [makeInstance('a')],
    instancesAge: 700,
    instancesReadAt: undefined,
  });
});

// Guards against a server that leaves and is shown as taking new work again, because a list that was read
// before has waited in a process that stood still, or on a connection that was cut.
test('a list that was read before the latest one is ignored', () => {
  const cache = new InstanceListCache(new ManualTimerService());
  const leaving = makeInstance('a', { state: 'leaving' });
  cache.update([makeInstance('a')], 1000);
  cache.update([leaving], 3000);
  assert.equal(cache.update([makeInstance('a')], 2000), undefined);
  assert.deepEqual(cache.latest?.instances, [leaving]);
  assert.equal(cache.latest?.instancesReadAt, 3000);
  assert.deepEqual(cache.update([], 4000)?.gone, ['a']);
});

// Guards against stores that ignore all lists because the clock of a process that read one was ahead.
test('a list is not ignored if its reader states no time, or one that is far behind', () => {
  const cache = new InstanceListCache(new ManualTimerService());
  cache.update([], 3_600_000);
  assert.notEqual(cache.update([makeInstance('a')], 1000), undefined);
  assert.notEqual(cache.update([makeInstance('b')]), undefined);
  assert.notEqual(cache.update([makeInstance('c')], 500), undefined);
});

/** The clocks of a machine that may be suspended: the monotonic one does not count that time. */
class SuspendableTimers extends ManualTimerService {
  suspendedFor = 0;

  override wallNow(): number {
    return super.wallNow() + this.suspendedFor;
  }
}

// Guards against entries that take the list of a store which was suspended for a new one.
test('the age of a list counts the time in which the store was suspended', () => {
  const timers = new SuspendableTimers();
  const cache = new InstanceListCache(timers);
  cache.update([]);
  timers.advance(500);
  timers.suspendedFor = 60_000;
  assert.ok((cache.latest?.instancesAge ?? 0) >= 60_000, String(cache.latest?.instancesAge));
});

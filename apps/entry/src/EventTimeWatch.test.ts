import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventTimeWatch } from './EventTimeWatch.js';

// Guards against an entry that is out of processor time and does not say on what.
test('events that take half of the time are reported once, with the kinds that take most', () => {
  const watch = new EventTimeWatch(0);
  const changes = [
    watch.record('tick', 400, 400),
    watch.record('requestArrived', 300, 900),
    watch.record('callerGone', 1, 1000),
    watch.record('tick', 700, 2000),
    watch.record('tick', 200, 3000),
    watch.record('tick', 300, 4000),
  ];
  assert.deepEqual(changes, [
    undefined,
    undefined,
    {
      isBusy: true,
      period: 1000,
      busyFraction: 0.701,
      millisecondsByEvent: { tick: 400, requestArrived: 300, callerGone: 1 },
    },
    undefined,
    { isBusy: false, period: 1000, busyFraction: 0.2, millisecondsByEvent: { tick: 200 } },
    undefined,
  ]);
});

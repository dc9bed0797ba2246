import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@hornbeampond/testing';
import {
  MAX_CLOCK_DRIFT_FRACTION,
  makeLeaseHolder,
  maySendOrder,
  nextFencingToken,
  reduceLease,
  type LeaseEvent,
  type LeaseHolder,
} from './LeaseHolder.js';

function makeHolder(): LeaseHolder {
  return makeLeaseHolder({
    lease: 'wien-a',
    holder: 'controller-1 1700000000000',
    duration: 10_000,
    renewInterval: 3000,
    maxClockDriftFraction: MAX_CLOCK_DRIFT_FRACTION,
    maxOrderDuration: 5000,
  });
}

function makeLeaseHeld(
  now: number,
  requestNumber: number,
  epoch: number,
  previousDuration = 0,
): LeaseEvent {
  return { type: 'leaseHeld', now, requestNumber, epoch, duration: 10_000, previousDuration };
}

test('lease holder: a lease is granted, renewed, expires, is granted again and released', async () => {
  const holder = makeHolder();
  const events: LeaseEvent[] = [
    { type: 'askDue', now: 0 },
    makeLeaseHeld(100, 1, 1),
    { type: 'askDue', now: 3000 },
    makeLeaseHeld(3100, 2, 1),
    makeLeaseHeld(3200, 2, 1),
    { type: 'endDue', now: 9900 },
    { type: 'endDue', now: 12_900 },
    { type: 'askDue', now: 20_000 },
    makeLeaseHeld(20_100, 3, 3, 10_000),
    { type: 'stop' },
    { type: 'askDue', now: 23_000 },
  ];
  const lines = events.map((event) => {
    const effects = reduceLease(holder, event).map((effect) => JSON.stringify(effect));
    const until = `held until ${holder.heldUntil}, unfenced from ${holder.unfencedFrom}`;
    return [`${JSON.stringify(event)} -> ${until}`, ...effects].join('\n  ');
  });
  await matchSnapshot(import.meta.url, 'life', lines.join('\n'));
});

// Guards against two holders that send orders to the same unfenced backend server. Backend servers
// that check fencing tokens refuse the previous holder's orders, so orders to them are not delayed.
test('lease holder: a successor delays orders to unfenced backend servers only', () => {
  const holder = makeHolder();
  reduceLease(holder, { type: 'askDue', now: 0 });
  reduceLease(holder, makeLeaseHeld(100, 1, 2, 10_000));
  for (let requestNumber = 2; requestNumber <= 8; requestNumber += 1) {
    reduceLease(holder, { type: 'askDue', now: (requestNumber - 1) * 3000 });
    reduceLease(holder, makeLeaseHeld((requestNumber - 1) * 3000 + 1, requestNumber, 2, 10_000));
  }
  const unfencedFrom = 100 + 15_000 * (1 + MAX_CLOCK_DRIFT_FRACTION);
  const permissions = [200, unfencedFrom - 1, unfencedFrom].map((now) => [
    maySendOrder(holder, now, true),
    maySendOrder(holder, now, false),
  ]);
  assert.deepEqual(permissions, [
    [true, false],
    [true, false],
    [true, true],
  ]);
  assert.deepEqual(nextFencingToken(holder), { epoch: 2, sequence: 1 });
});

// Guards against orders under a lease that another holder may have by now.
test('lease holder: a grant that arrives after its lease has ended is not used', () => {
  const holder = makeHolder();
  reduceLease(holder, { type: 'askDue', now: 0 });
  assert.deepEqual(reduceLease(holder, makeLeaseHeld(9900, 1, 1)), []);
  assert.equal(maySendOrder(holder, 9900, true), false);
});

import { test } from 'node:test';
import { reduceLease, type LeaseHolder } from '@hornbeampond/controller-core';
import { expectCaught, expectHolds } from './expectModel.js';
import { makeLeaseModel, type LeaseBounds, type ReduceLease } from './leaseModel.js';
import { walkModel } from './walkModel.js';

const TWO_HOLDERS = 'two holders act at once before an unfenced backend server';

const slowThenFast: LeaseBounds = {
  asks: [1, 1],
  runs: 2,
  jumps: 1,
  jump: 12,
  durations: [2, 12],
  longestOrder: 2,
  rates: [0.75, 1.25],
  driftBound: 0.25,
  releases: false,
};
const longLeases: LeaseBounds = { ...slowThenFast, runs: 1, jump: 20, durations: [4, 20] };
const renewed: LeaseBounds = { ...slowThenFast, asks: [2, 1], runs: 1 };
const givenBack: LeaseBounds = { ...slowThenFast, runs: 1, releases: true };

test('lease: one holder slow and one fast, the log clock jumping ahead', (context) => {
  expectHolds(context, makeLeaseModel(slowThenFast));
});

test('lease: leases long enough for the drift of the clocks to show', (context) => {
  expectHolds(context, makeLeaseModel(longLeases));
});

test('lease: the first holder renews or lapses before the second takes it', (context) => {
  expectHolds(context, makeLeaseModel(renewed));
});

test('lease: given back for a planned replacement', (context) => {
  expectHolds(context, makeLeaseModel(givenBack));
});

test('lease: random walks with three holders, nine asks each and three jumps', () => {
  const rates = [0.8, 1.2, 1];
  const more = { rates, durations: [2, 3, 4], asks: [9, 9, 9], releases: true };
  const bounds = { ...slowThenFast, ...more, jumps: 3, jump: 5 };
  walkModel(makeLeaseModel(bounds), { walks: 2000, mostSteps: 120, seed: 20261203 });
});

// A role change comes twice: the log's clock jumps ahead with a new leader, the lease looks ended,
// and the successor gives its first order while the isolated holder still counts its lease.
test('lease mutation: the successor does not wait', (context) => {
  const reduce: ReduceLease = (holder, event) => {
    const effects = reduceLease(holder, event);
    if (event.type === 'leaseHeld') Object.assign(holder, { unfencedFrom: event.now });
    return effects;
  };
  expectCaught(context, makeLeaseModel(slowThenFast, reduce), TWO_HOLDERS);
});

// The successor waits for the lease but not for the last order, which the old holder gave just
// before its lease ended and which acts after it.
test('lease mutation: the successor does not wait for the longest order', (context) => {
  const reduce: ReduceLease = (holder, event) => {
    const settings = { ...holder.settings, maxOrderDuration: 0 };
    const shortened: LeaseHolder = { ...holder, settings };
    const effects = reduceLease(shortened, event);
    Object.assign(holder, shortened);
    return effects;
  };
  expectCaught(context, makeLeaseModel(slowThenFast, reduce), TWO_HOLDERS);
});

// The answer to the ask was slow. The holder counts its lease from the answer, the log and its
// successor from the grant, and for the length of that delay both give orders.
test('lease mutation: the holder counts from the answer', (context) => {
  const reduce: ReduceLease = (holder, event) => {
    if (event.type === 'leaseHeld' && holder.requestTimes.has(event.requestNumber)) {
      holder.requestTimes.set(event.requestNumber, event.now);
    }
    return reduceLease(holder, event);
  };
  expectCaught(context, makeLeaseModel(slowThenFast, reduce), TWO_HOLDERS);
});

// The isolated holder's clock is slow; it counts its lease without the drift bound and is still
// giving orders when the successor, whose clock is fast, has waited its time.
test('lease mutation: the drift of the clocks is left out', (context) => {
  const reduce: ReduceLease = (holder, event) => {
    const settings = { ...holder.settings, maxClockDriftFraction: 0 };
    const trusting: LeaseHolder = { ...holder, settings };
    const effects = reduceLease(trusting, event);
    Object.assign(holder, trusting);
    return effects;
  };
  expectCaught(context, makeLeaseModel(longLeases, reduce), TWO_HOLDERS);
});

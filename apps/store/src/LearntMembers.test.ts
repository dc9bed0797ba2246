import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { KnownMembers } from '@hornbeampond/schema';
import { LearntMembers } from './LearntMembers.js';

function makeAnswer(
  instances: readonly string[],
  lastTerm: number,
  lastIndex: number,
  host = `host-${lastTerm}-${lastIndex}`,
): KnownMembers {
  const stores = instances.map((instance) => ({ instance, dataCentre: 'wien-a', host, port: 1 }));
  return { stores, lastTerm, lastIndex };
}

const nothing = makeAnswer([], 0, 0);

function describeAddresses(learnt: LearntMembers, own = nothing): string[] {
  return learnt.addressesBeside(own).map(({ instance, host }) => `${instance} ${host}`);
}

// Guards against an outdated answer that replaces the addresses of a newer one.
test('of two answers about a member the one with the newer log counts', () => {
  const learnt = new LearntMembers();
  learnt.learn(makeAnswer(['a', 'b'], 2, 10));
  learnt.learn(makeAnswer(['b', 'c'], 1, 90));
  learnt.learn(makeAnswer(['a'], 2, 11));
  assert.deepEqual(describeAddresses(learnt), ['a host-2-11', 'b host-2-10', 'c host-1-90']);
});

// Guards against a store that connects to the former address of a member in its old log.
test("a store's own log counts where it is as new as the answer", () => {
  const learnt = new LearntMembers();
  learnt.learn(makeAnswer(['a', 'b'], 2, 10));
  assert.deepEqual(describeAddresses(learnt, makeAnswer(['a'], 2, 9)), [
    'a host-2-10',
    'b host-2-10',
  ]);
  assert.deepEqual(describeAddresses(learnt, makeAnswer(['a'], 2, 10)), ['b host-2-10']);
});

// Guards against memory and connections that grow while answers name other stores without end.
test('what is learnt is bounded, and the oldest is forgotten first', () => {
  const learnt = new LearntMembers();
  learnt.learn(makeAnswer(['newest'], 9, 1));
  for (let index = 1; index <= 1000; index += 1) learnt.learn(makeAnswer([`m${index}`], 1, index));
  const names = learnt.addressesBeside(nothing).map(({ instance }) => instance);
  assert.equal(names.length, 32);
  assert.ok(names.includes('newest') && names.includes('m1000') && !names.includes('m1'));
  const many = Array.from({ length: 1000 }, (_, position) => `n${position}`);
  learnt.learn(makeAnswer(many, 10, 1));
  assert.equal(learnt.addressesBeside(nothing).length, 32);
});

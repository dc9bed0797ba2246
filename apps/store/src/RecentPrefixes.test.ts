import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecentPrefixes } from './RecentPrefixes.js';

test('the most recent prefixes of a backend server are kept, including those reported again', () => {
  const recentPrefixes = new RecentPrefixes();
  const digests = Array.from({ length: 500 }, (_, number) => `part-${number}`);
  recentPrefixes.record({ engine: digests });
  recentPrefixes.record({ engine: ['part-0', 'new'] });
  const kept = recentPrefixes.computed.engine ?? [];
  assert.equal(kept.length, 500);
  assert.deepEqual([kept.includes('part-0'), kept.includes('part-1')], [true, false]);
  assert.deepEqual(kept.slice(-2), ['part-0', 'new']);
});

test('the prefixes of a removed backend server are removed', () => {
  const recentPrefixes = new RecentPrefixes();
  recentPrefixes.record({ engine: ['a'], other: ['b'] });
  recentPrefixes.retainOnly(['other']);
  assert.deepEqual(recentPrefixes.computed, { other: ['b'] });
});

// Guards against responses of hundreds of kilobytes to each of hundreds of entries that start
// together.
test('the most recent prefixes are limited in total, with as many of each backend server', () => {
  const prefixes = new RecentPrefixes();
  prefixes.record({ a: ['1', '2', '3'], b: ['4', '5'], c: ['6'] });
  assert.deepEqual(prefixes.mostRecent(6), { a: ['2', '3'], b: ['4', '5'], c: ['6'] });
  assert.deepEqual(prefixes.mostRecent(2), {});
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { measureLoad, computeInstanceNeed } from './computeInstanceNeed.js';

const report = {
  route: 'appraisals',
  pool: 'engines',
  requestsPerSecond: 10,
  serviceMilliseconds: 1600,
  promptMilliseconds: 100,
};

// Callers come at four times their usual rate for ten seconds. By the rate of ten seconds the engines
// for them would serve when the rush is over.
test('a rush counts by the rate of the last few seconds', () => {
  const usualLoad = measureLoad([{ ...report, recentPerSecond: 10 }], 64);
  const rushLoad = measureLoad([{ ...report, recentPerSecond: 40 }], 64);
  assert.deepEqual(usualLoad, { places: 0.25, prompts: 1 });
  assert.deepEqual(rushLoad, { places: 1, prompts: 4 });
  assert.ok(computeInstanceNeed(rushLoad).afterLoss > computeInstanceNeed(usualLoad).afterLoss);
});

// A lull of a few seconds between two rushes lets nothing go, and an entry of an older version that
// tells no recent rate counts by its steady one.
test('a lull counts by the rate of the last ten seconds', () => {
  assert.equal(measureLoad([{ ...report, recentPerSecond: 2 }], 64).prompts, 1);
  assert.equal(measureLoad([report], 64).prompts, 1);
});

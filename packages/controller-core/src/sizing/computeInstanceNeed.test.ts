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

// Guards against ordering engines for a sudden increase only when it is over, as the ten-second
// rate would.
test('a sudden increase counts by the rate of the last few seconds', () => {
  const usualLoad = measureLoad([{ ...report, recentPerSecond: 10 }], 64);
  const rushLoad = measureLoad([{ ...report, recentPerSecond: 40 }], 64);
  assert.deepEqual(usualLoad, { places: 0.25, prompts: 1 });
  assert.deepEqual(rushLoad, { places: 1, prompts: 4 });
  assert.ok(computeInstanceNeed(rushLoad).afterLoss > computeInstanceNeed(usualLoad).afterLoss);
});

// Guards against removing engines in a lull of a few seconds. Entries of an older version report
// no recent rate; their ten-second rate counts.
test('a lull counts by the rate of the last ten seconds', () => {
  assert.equal(measureLoad([{ ...report, recentPerSecond: 2 }], 64).prompts, 1);
  assert.equal(measureLoad([report], 64).prompts, 1);
});

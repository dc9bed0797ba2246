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

// Guards against ordering several times the engines that are needed where hundreds of entries serve
// a route or two a second each: most of them have not measured it yet, and assume a second.
test('the time that a request takes is averaged over the entries that have measured it', () => {
  const measured = { ...report, measuredServiceMilliseconds: 200, serviceSamples: 4 };
  const assumed = { ...report, serviceMilliseconds: 2000 };
  const entries = [measured, ...Array.from({ length: 9 }, () => assumed)];
  assert.equal(measureLoad(entries, 10).places, (10 * 10 * 0.2) / 10);
  assert.equal(measureLoad([assumed, assumed], 10).places, (2 * 10 * 2) / 10);
});

test('measured times count by their samples, up to a limit', () => {
  const first = { ...report, measuredServiceMilliseconds: 100, serviceSamples: 1000 };
  const second = { ...report, measuredServiceMilliseconds: 400, serviceSamples: 10 };
  assert.equal(measureLoad([first, second], 10).places, (20 * 0.2) / 10);
});

// Guards against prompts whose assumed time exceeds the measured one several times over.
test('the time for a prompt counts only from entries whose estimate rests on samples', () => {
  const measured = { ...report, promptMilliseconds: 50, promptSamples: 20 };
  const assumed = { ...report, promptMilliseconds: 600, promptSamples: 0 };
  assert.equal(measureLoad([measured, assumed], 10).prompts, 20 * 0.05);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { meanRate, sumSamples } from './readUsage.js';

test('the samples of one metric are summed over its labels, those of others left out', () => {
  const text = [
    '# HELP frames_total Frames',
    'frames_total{direction="in"} 3',
    'frames_total{direction="out"} 4.5',
    'frames_total_other 100',
    'plain 7',
  ].join('\n');
  assert.equal(sumSamples(text, 'frames_total'), 7.5);
  assert.equal(sumSamples(text, 'plain'), 7);
  assert.equal(sumSamples(text, 'missing'), 0);
});

test('the mean rate is taken figure by figure', () => {
  const rate = {
    corePercent: 2,
    residentMegabytes: 60,
    framesPerSecond: 10,
    frameBytesPerSecond: 400,
    callBytesPerSecond: 1000,
  };
  const doubled = {
    corePercent: 4,
    residentMegabytes: 120,
    framesPerSecond: 20,
    frameBytesPerSecond: 800,
    callBytesPerSecond: 2000,
  };
  assert.deepEqual(meanRate([rate, doubled]), {
    corePercent: 3,
    residentMegabytes: 90,
    framesPerSecond: 15,
    frameBytesPerSecond: 600,
    callBytesPerSecond: 1500,
  });
});

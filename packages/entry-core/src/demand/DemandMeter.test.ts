import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandMeter } from './DemandMeter.js';

test('the rate covers the last ten whole seconds', () => {
  const meter = new DemandMeter();
  for (let now = 0; now < 20_000; now += 100) meter.record('offers', now);
  assert.deepEqual(meter.read(20_050).get('offers'), {
    requestsPerSecond: 10,
    recentPerSecond: 10,
  });
  assert.deepEqual(meter.read(25_050).get('offers'), { requestsPerSecond: 5, recentPerSecond: 0 });
});

// The ten-second rate alone would show a sudden increase too late to buy instances for it.
test('the recent rate shows a sudden increase within four seconds', () => {
  const meter = new DemandMeter();
  for (let now = 0; now < 20_000; now += 100) meter.record('offers', now);
  for (let now = 20_000; now < 24_000; now += 20) meter.record('offers', now);
  assert.deepEqual(meter.read(24_050).get('offers'), {
    requestsPerSecond: 26,
    recentPerSecond: 50,
  });
});

test('a route without recent requests is removed', () => {
  const meter = new DemandMeter();
  meter.record('offers', 0);
  assert.equal(meter.read(60_000).size, 0);
});

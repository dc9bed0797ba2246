import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandMeter } from './DemandMeter.js';

test('the rate is that of the last ten whole seconds', () => {
  const meter = new DemandMeter();
  for (let now = 0; now < 20_000; now += 100) meter.note('offers', now);
  assert.equal(meter.read(20_050).get('offers'), 10);
  assert.equal(meter.read(25_050).get('offers'), 5);
});

test('a route that nobody uses any more is forgotten', () => {
  const meter = new DemandMeter();
  meter.note('offers', 0);
  assert.equal(meter.read(60_000).size, 0);
});

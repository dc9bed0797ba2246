import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deadlineAt } from '../planning/deadlines.js';
import { computeRequiredSlots } from '../planning/queueing.js';
import { estimatePoolNeed } from '../planning/estimatePoolNeed.js';
import { appraisalRoute, ControllerHarness } from '../testing/ControllerHarness.js';
import { minuteOfDay } from './localTime.js';

test('the local time of day follows a daylight-saving change', () => {
  const winter = Date.UTC(2026, 2, 28, 11);
  const summer = Date.UTC(2026, 2, 29, 11);
  assert.equal(minuteOfDay('Europe/Vienna', winter), 12 * 60);
  assert.equal(minuteOfDay('Europe/Vienna', summer), 13 * 60);
});

test('a deadline for hours across midnight applies before and after midnight', () => {
  const night = { firstTokenMilliseconds: 9000, wholeAnswerMilliseconds: 90_000 };
  const route = { ...appraisalRoute, deadlinesByHour: [{ from: '22:00', to: '06:00', ...night }] };
  const at = (hour: number) => deadlineAt(route, Date.UTC(2026, 0, 15, hour));
  assert.equal(at(22).firstTokenMilliseconds, 9000);
  assert.equal(at(4).firstTokenMilliseconds, 9000);
  assert.equal(at(5).firstTokenMilliseconds, 2000);
});

test('a shorter allowed wait needs more slots, and so does more load', () => {
  const load = { requestsPerSecond: 20, serviceMilliseconds: 1000, allowedWait: 1000 };
  const slots = computeRequiredSlots(load, 0.998);
  assert.ok(slots > 20);
  assert.ok(computeRequiredSlots({ ...load, allowedWait: 100 }, 0.998) > slots);
  assert.ok(computeRequiredSlots({ ...load, requestsPerSecond: 40 }, 0.998) > slots);
});

// Guards against buying for a daily peak only once it has begun, which is too late for its first
// callers because a start takes minutes.
test('a peak in the daily profile is planned for before it begins', () => {
  const harness = new ControllerHarness();
  const profile = Array.from({ length: 96 }, (_, index) => (index >= 48 && index < 56 ? 40 : 5));
  const shapes = { appraisals: profile };
  const report = { dataCentre: 'wien-b', demand: [], closedOffers: [], serving: [], shapes };
  harness.dispatch({ type: 'peerReported', report });
  harness.requestsPerSecond = 5;
  harness.acquireLease();
  const early = estimatePoolNeed(harness.state, harness.pool);
  harness.advance(52 * 60_000);
  const { currentEstimate: figures, peakNeed: ahead } = estimatePoolNeed(
    harness.state,
    harness.pool,
  );
  assert.ok(early.peakNeed.normal < 15);
  assert.ok(figures.normal < 15, 'demand itself has not risen yet');
  assert.ok(ahead.normal >= 20, `planned for ${ahead.normal} slots`);
});

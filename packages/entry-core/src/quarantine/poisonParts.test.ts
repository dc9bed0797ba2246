/** A part of many prompts that crashes each backend server which begins to write an answer on it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PoisonedTraffic } from './testing/PoisonedTraffic.js';

/** Time from the fifth crash after which nearly nothing with the part may reach a server. */
const NAMED_WITHIN_MILLISECONDS = 3000;
const CRASHES_BEFORE = 5;
const MAX_LATER_ARRIVALS = 3;

const SOUND_MILLISECONDS = 6000;
const POISONED_MILLISECONDS = 32_000;

/** Sound requests must be served at least this often, compared with the time before. */
const LEAST_SERVED_FRACTION = 0.5;

const seeds = [1, 2, 3];

/** How long digests are under way to an entry on a full link, or wait unread in a busy one. */
const TRANSIT_MILLISECONDS = 750;

interface PoisonedTime {
  /** The place of the part, from 0. */
  readonly place: number;
  readonly isIdempotent: boolean;
  readonly transit?: number;
  /** Four times as many entries, servers and requests. */
  readonly isLarger?: boolean;
}

function assertFewCrashes(
  { place, isIdempotent, transit = 0, isLarger = false }: PoisonedTime,
  seed: number,
): void {
  const traffic = new PoisonedTraffic({
    entries: isLarger ? 24 : 6 + (seed % 2),
    enginesPerDataCentre: isLarger ? 12 : 6 + seed,
    requestsPerSecond: isLarger ? 80 : 20,
    poisonEvery: 10,
    place,
    isIdempotent,
    seed,
  });
  const { reportStore } = traffic.cluster;
  assert.ok(reportStore !== undefined);
  reportStore.transitDelay = transit;
  const startedAt = traffic.cluster.clock().now;
  traffic.run(SOUND_MILLISECONDS, false);
  const poisonedAt = traffic.cluster.clock().now;
  traffic.run(POISONED_MILLISECONDS, true);
  const endedAt = traffic.cluster.clock().now;
  const fifthCrashAt = traffic.timeOfCrash(CRASHES_BEFORE);
  const arrivals = traffic.countPoisonArrivals(fifthCrashAt + NAMED_WITHIN_MILLISECONDS);
  assert.ok(
    arrivals <= MAX_LATER_ARRIVALS,
    `${arrivals} arrivals later than ${NAMED_WITHIN_MILLISECONDS} ms after the fifth of ` +
      `${traffic.crashes.length} crashes, seed ${seed}`,
  );
  const before = traffic.fractionBegun(startedAt, poisonedAt);
  const from = Math.min(fifthCrashAt, traffic.crashes.at(-1) ?? Infinity);
  const after = traffic.fractionBegun(from + 2 * NAMED_WITHIN_MILLISECONDS, endedAt - 2000);
  assert.ok(
    after >= before * LEAST_SERVED_FRACTION,
    `${after} of the sound requests were served, ${before} before, seed ${seed}`,
  );
  assert.equal(traffic.wronglyQuarantined.length, 0, `seed ${seed}`);
}

[true, false].forEach((isIdempotent) => {
  const calls = isIdempotent ? 'calls that may be repeated' : 'calls that may not be repeated';
  [0, 1, 2].forEach((place) => {
    // Guards against requests that are all different and crash one server after the other, because only whole
    // requests are quarantined, and against sound requests that are refused for what they share with them.
    test(`a part in place ${place} crashes few servers and costs no others (${calls})`, () => {
      seeds.forEach((seed) => assertFewCrashes({ place, isIdempotent }, seed));
    });
  });

  // Guards against sound requests that are quarantined by their digests at two crashes, before the entries with the
  // requests at fault have been heard of.
  test(`a part crashes few servers and costs no others where news is late (${calls})`, () => {
    const late = { place: 1, isIdempotent, transit: TRANSIT_MILLISECONDS };
    seeds.forEach((seed) => assertFewCrashes(late, seed));
  });
});

// Guards against the same on larger sites, where a sound request is beside the part more often.
test('a part costs no others where 24 entries hear of each other late', () => {
  const late = { place: 1, isIdempotent: true, transit: TRANSIT_MILLISECONDS, isLarger: true };
  assertFewCrashes(late, 1);
});

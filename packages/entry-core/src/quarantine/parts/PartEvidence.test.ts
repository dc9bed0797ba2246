/** Crashes that come faster than the news of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PartEvidence } from './PartEvidence.js';

const CRASH_INTERVAL_MILLISECONDS = 25;
const CRASHES = 80;
const TRANSIT_MILLISECONDS = 750;
const WALL_START = 1_000_000;

// Guards against a part that is never found on a large site, because each crash is forgotten for newer ones before
// the news that belongs to it can have arrived.
test('a part is found while servers crash faster than news arrives', () => {
  const evidence = new PartEvidence();
  const found = Array.from({ length: CRASHES }, (_, number) => {
    const now = number * CRASH_INTERVAL_MILLISECONDS;
    const unanswered = [
      { digest: `poison-${number}`, parts: ['poison'] },
      { digest: `sound-${number}`, parts: [`sound-${number}`] },
    ];
    const crash = { backendServer: `engine-${number}`, pool: 'pool', at: WALL_START + now };
    evidence.addCrash({ ...crash, unanswered }, now);
    return evidence.findCulprits(
      () => false,
      () => false,
      now,
      TRANSIT_MILLISECONDS,
    );
  }).flat();
  assert.deepEqual(found[0], { pool: 'pool', parts: ['poison'] });
});

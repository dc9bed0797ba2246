/** Bursts at brittle servers that have less room than slots, as where long prompts fill their memory. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countFalls } from './testing/brittleBursts.js';

const ENGINES_PER_DATA_CENTRE = 4;
const TOLERATED_FALLS = 2 + (2 * ENGINES_PER_DATA_CENTRE) / 10;

// Guards against many entries of which each learns by a rejection of its own how little room a server has.
[1, 2, 3].forEach((seed) => {
  test(`brittle servers with less room than slots stay up in bursts (58 entries, seed ${seed})`, () => {
    const falls = countFalls({
      entries: 58,
      enginesPerDataCentre: ENGINES_PER_DATA_CENTRE,
      reports: 'soon',
      seed,
      roomFraction: 0.6,
    });
    assert.ok(falls <= TOLERATED_FALLS, `${falls} falls`);
  });
});

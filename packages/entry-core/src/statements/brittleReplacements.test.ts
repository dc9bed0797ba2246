/** Bursts at brittle servers that are replaced by others with new names. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countFalls } from './testing/brittleBursts.js';

const ENGINES_PER_DATA_CENTRE = 4;
const TOLERATED_FALLS = 2 + (2 * ENGINES_PER_DATA_CENTRE) / 10;

// Guards against servers that nobody takes for brittle because they are new: all entries send to the one that is empty,
// before any of them has read an answer of it.
[8, 16].forEach((entries) => {
  test(`brittle servers that replace others stay up in bursts (${entries} entries)`, () => {
    [1, 2, 3].forEach((seed) => {
      const falls = countFalls({
        entries,
        enginesPerDataCentre: ENGINES_PER_DATA_CENTRE,
        reports: 'soon',
        seed,
        areReplaced: true,
      });
      assert.ok(falls <= TOLERATED_FALLS, `${falls} falls with seed ${seed}`);
    });
  });
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fitLine } from './fitLine.js';

test('a line is found again from its points', () => {
  const fit = fitLine([
    [1, 5],
    [2, 7],
    [10, 23],
  ]);
  assert.deepEqual(fit, { slope: 2, intercept: 3, determination: 1 });
});

test('points off the line are explained in part', () => {
  const fit = fitLine([
    [0, 0],
    [1, 3],
    [2, 0],
  ]);
  assert.deepEqual(fit, { slope: 0, intercept: 1, determination: 0 });
});

test('fewer than three sizes, or equal ones, are refused', () => {
  assert.throws(
    () =>
      fitLine([
        [1, 1],
        [2, 2],
      ]),
    RangeError,
  );
  assert.throws(
    () =>
      fitLine([
        [1, 1],
        [1, 2],
        [1, 3],
      ]),
    RangeError,
  );
});

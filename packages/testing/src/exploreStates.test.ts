import assert from 'node:assert/strict';
import { test } from 'node:test';
import { exploreStates, type Model } from './exploreStates.js';

/** A counter that may go up by one or by two and must stay below a limit. */
function counter(limit: number): Model<number> {
  return {
    initial: 0,
    steps: (state) =>
      state >= 6 ? [] : [1, 2].map((by) => ({ label: `+${by}`, take: () => state + by })),
    key: String,
    check: (state) => (state >= limit ? `reached ${state}` : undefined),
  };
}

// The deepest state is 7, reached by +2 +2 +2 +1.
test('an invariant that holds is checked in every reachable state', () => {
  const found = exploreStates(counter(100), { maxStates: 1000, maxDepth: 100 });
  assert.deepEqual(found, { states: 8, depth: 4, exhaustive: true });
});

test('a violation is reported with the shortest steps that lead to it', () => {
  const found = exploreStates(counter(4), { maxStates: 1000, maxDepth: 100 });
  assert.deepEqual(found.violation, { reason: 'reached 4', trace: ['+2', '+2'] });
});

test('an exploration that stops at the state limit is not reported as exhaustive', () => {
  assert.equal(exploreStates(counter(100), { maxStates: 3, maxDepth: 9 }).exhaustive, false);
});

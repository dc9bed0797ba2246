/**
 * Verdicts on models: an invariant that holds in every state, with the states counted and printed,
 * or a mutation that the same check has to find.
 */
import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { exploreStates, type Model } from '@hornbeampond/testing';

/** Above what any model here has, so that none is cut short unnoticed. */
const MOST_STATES = 200_000;
const MOST_STEPS = 200;

/** Passes if no state within the model's own bounds breaks an invariant. */
export function expectHolds<State>(test: TestContext, model: Model<State>): void {
  const found = exploreStates(model, { maxStates: MOST_STATES, maxDepth: MOST_STEPS });
  test.diagnostic(`${found.states} states, longest path ${found.depth} steps`);
  assert.deepEqual(found.violation, undefined);
  assert.ok(found.exhaustive, 'the model is too large for its bounds');
}

/** Passes if the check finds this violation, so that the mutation is known to be caught. */
export function expectCaught<State>(test: TestContext, model: Model<State>, reason: string): void {
  const found = exploreStates(model, { maxStates: MOST_STATES, maxDepth: MOST_STEPS });
  test.diagnostic(`${found.states} states; ${found.violation?.trace.join(' > ') ?? 'none bad'}`);
  assert.equal(found.violation?.reason, reason);
}

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createControllerState } from '../state.js';
import { appraisalRoute, makeConfiguration, modelPool } from '../testing/ControllerHarness.js';
import { endDrainedInstances } from './scaleIn.js';

// Guards against ending an instance with calls in progress whose route reaches it only by its split:
// without load reports the longest deadline of the routes to its pool has to pass.
test('a drained instance without load reports is kept for the deadline of routes that split', () => {
  const state = createControllerState({ dataCentre: 'wien-a', seed: 7 });
  const route = { ...appraisalRoute, pool: 'others', split: [{ pool: 'models', weight: 1 }] };
  state.configuration = {
    ...makeConfiguration(modelPool),
    routes: { revision: 1, rows: [route] },
  };
  state.fleet.set('engine-1', {
    instance: 'engine-1',
    dataCentre: 'wien-a',
    instanceClass: 'spot',
    pool: 'models',
    firstSeenAt: 0,
    phase: 'draining',
    phaseSince: 0,
    phaseSinceWall: 0,
    lastListedAt: 0,
    loaded: {},
    orderRetryAt: 0,
    startMeasured: true,
  });
  state.now = route.deadline.wholeAnswerMilliseconds + state.policy.maxListLag;
  assert.deepEqual(endDrainedInstances(state), []);
  state.now += 1;
  assert.equal(endDrainedInstances(state)[0]?.type, 'endInstance');
});

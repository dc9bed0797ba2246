import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createControllerState } from '../state.js';
import { closeAfterFailedStart, closeAfterReclaim, reopenPlace } from './placeClosures.js';

const CLASS = 'spot';

function makeState() {
  return createControllerState({ dataCentre: 'wien-a', seed: 7 });
}

// Guards against buying again at a place right after a reclaim: instances there are likely to be
// reclaimed again.
test('a place that was closed by a reclaim stays closed after a refusal and a start', () => {
  const state = makeState();
  closeAfterReclaim(state, 'wien-a', CLASS);
  const reclaimed = [...state.placeClosures.values()][0];
  closeAfterFailedStart(state, CLASS, 'refused');
  reopenPlace(state, CLASS);
  const [closure] = state.placeClosures.values();
  assert.ok(closure !== undefined && reclaimed !== undefined);
  assert.ok(closure.until >= reclaimed.until);
});

test('a place that was closed by a refusal opens after a start', () => {
  const state = makeState();
  closeAfterFailedStart(state, CLASS, 'refused');
  reopenPlace(state, CLASS);
  assert.equal(state.placeClosures.size, 0);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from './matchSnapshot.js';

/** Its snapshots are never updated, so `UPDATE_SNAPSHOTS=1` cannot make the failing cases pass. */
const neverUpdated = new URL('neverUpdated.js', import.meta.url).href;

test('a value equal to its snapshot passes', async () => {
  await matchSnapshot(import.meta.url, 'equal', { name: 'kept', list: [1, 2] });
});

test('a value that differs from its snapshot fails', async () => {
  await matchSnapshot(neverUpdated, 'equal', 'kept', false);
  await assert.rejects(matchSnapshot(neverUpdated, 'different', 'changed', false));
});

test('a missing snapshot fails', async () => {
  await assert.rejects(matchSnapshot(neverUpdated, 'never written', 1, false));
});

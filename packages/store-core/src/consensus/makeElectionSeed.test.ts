import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createConsensusState, defaultConsensusSettings } from './ConsensusState.js';
import { reduceConsensus } from './reduceConsensus.js';
import { makeElectionSeed } from './makeElectionSeed.js';

const settings = { ...defaultConsensusSettings, cluster: 'tested' };

/** The time at which a store that starts now campaigns. */
function electionTimeOf(number: number, runCount: number): number {
  const self = {
    instance: `store-${number}`,
    identity: `identity-${number}`,
    run: { count: runCount, token: 'started-together' },
  };
  const restored = { self, term: 3, entries: [] };
  const state = createConsensusState(settings, restored, makeElectionSeed(self));
  reduceConsensus(state, { type: 'started', now: 0, wallNow: 0 });
  return state.electionDueAt;
}

// Guards against a cluster without a leader after a power loss: stores that start together and
// campaign at the same time split the votes, and with equal seeds they do so again each time.
test('stores that start together campaign at different times', () => {
  [1, 2, 3].forEach((runCount) => {
    const moments = [1, 2, 3, 4]
      .map((number) => electionTimeOf(number, runCount))
      .sort((a, b) => a - b);
    const gaps = moments.slice(1).map((moment, position) => moment - (moments[position] ?? 0));
    assert.ok(
      gaps.some((gap) => gap > 20),
      `run ${runCount}: ${moments}`,
    );
    assert.equal(new Set(moments).size, 4, `run ${runCount}: ${moments}`);
  });
  const runs = [1, 2, 3, 4, 5].map((runCount) => electionTimeOf(1, runCount));
  assert.ok(new Set(runs).size > 3, `${runs}`);
});

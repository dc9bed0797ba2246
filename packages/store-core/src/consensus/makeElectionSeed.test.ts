import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createConsensusState, defaultConsensusSettings } from './ConsensusState.js';
import { reduceConsensus } from './reduceConsensus.js';
import { makeElectionSeed } from './makeElectionSeed.js';

const settings = { ...defaultConsensusSettings, cluster: 'tested' };

/** The moment at which a store that starts now stands for election. */
function electionTimeOf(storeNumber: number, runCount: number): number {
  const self = {
    instance: `store-${storeNumber}`,
    identity: `identity-${storeNumber}`,
    run: { count: runCount, token: 'started-together' },
  };
  const restored = { self, term: 3, entries: [] };
  const state = createConsensusState(settings, restored, makeElectionSeed(self));
  reduceConsensus(state, { type: 'started', now: 0, wallNow: 0 });
  return state.electionDueAt;
}

// All stores lose power at once and start together, each for the same time in its life. Callers find
// no entry with a configuration until a leader is elected. If all stand at the same moment nobody
// wins, and with the same draws the next round goes the same way.
test('stores that start together stand for election at different moments', () => {
  [1, 2, 3].forEach((runCount) => {
    const electionTimes = [1, 2, 3, 4]
      .map((storeNumber) => electionTimeOf(storeNumber, runCount))
      .sort((a, b) => a - b);
    const differences = electionTimes
      .slice(1)
      .map((electionTime, position) => electionTime - (electionTimes[position] ?? 0));
    assert.ok(
      differences.some((difference) => difference > 20),
      `run ${runCount}: ${electionTimes}`,
    );
    assert.equal(new Set(electionTimes).size, 4, `run ${runCount}: ${electionTimes}`);
  });
  const runs = [1, 2, 3, 4, 5].map((runCount) => electionTimeOf(1, runCount));
  assert.ok(new Set(runs).size > 3, `${runs}`);
});

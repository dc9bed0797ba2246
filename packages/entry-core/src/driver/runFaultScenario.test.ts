import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fullRecoveryPolicy } from '../index.js';
import { runFaultScenario } from './runFaultScenario.js';

const SEED = 2;

// Callers of 500 requests see a minute of reclaims, deaths and silence. Each policy gets the same requests
// and the same faults, so the difference is the policy's: a stream that is resumed keeps its deadline where
// one that is redone from the start misses it, and one that is moved is hardly computed again.
test('the recovery of streams beats plain baselines under the same waves', () => {
  const full = runFaultScenario(fullRecoveryPolicy, SEED);
  const withoutMoves = runFaultScenario({ ...fullRecoveryPolicy, moveCaches: false }, SEED);
  const restartPolicy = {
    ...fullRecoveryPolicy,
    moveCaches: false,
    migrateOnNotice: false,
    resumeFromOffset: false,
  };
  const restarted = runFaultScenario(restartPolicy, SEED);
  assert.equal(full.violations + withoutMoves.violations + restarted.violations, 0);
  assert.equal(full.completed >= full.requests * 0.99, true, `${full.completed} whole`);
  assert.equal(
    restarted.completed < full.completed,
    true,
    `${restarted.completed} whole when redone`,
  );
  assert.equal(full.extraPrefilledTokens < withoutMoves.extraPrefilledTokens * 0.85, true);
  assert.equal(full.extraDecodedTokens < restarted.extraDecodedTokens * 0.5, true);
});

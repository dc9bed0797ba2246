import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fullRecoveryPolicy } from '../index.js';
import { runFaultScenario } from './runFaultScenario.js';

const SEED = 2;

// Guards against a recovery that is no better than restarting requests. All policies see the same
// requests and faults: resumed streams keep deadlines that restarted ones miss, and moved caches
// avoid prefills.
test('stream recovery completes more requests than restarting them under the same faults', () => {
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
  assert.equal(full.completed >= full.requests * 0.99, true, `${full.completed} completed`);
  assert.equal(
    restarted.completed < full.completed,
    true,
    `${restarted.completed} completed when restarted`,
  );
  assert.equal(full.extraPrefilledTokens < withoutMoves.extraPrefilledTokens * 0.85, true);
  assert.equal(full.extraDecodedTokens < restarted.extraDecodedTokens * 0.5, true);
});

/** Requests that end while they are queued. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineSpeed } from '@hornbeampond/testing';
import { EntryHarness } from '../testing/EntryHarness.js';
import { examplePool, exampleRequest, exampleRoute } from '../testing/examples.js';

const FIRST_TOKEN_MILLISECONDS = 20_000;
const WHOLE_ANSWER_MILLISECONDS = 30_000;
const QUEUED_REQUESTS = 3;

const speed: EngineSpeed = {
  concurrency: 1,
  prefillMillisecondsPerToken: 0.1,
  decodeMillisecondsPerToken: 2,
  cachedPrefixes: 10,
};

/** One request occupies the only place, and others are queued behind it. */
function makeHarnessWithQueue(): EntryHarness {
  const deadline = {
    firstTokenMilliseconds: FIRST_TOKEN_MILLISECONDS,
    wholeAnswerMilliseconds: WHOLE_ANSWER_MILLISECONDS,
  };
  const harness = new EntryHarness({
    servers: 1,
    speed,
    routes: [exampleRoute({ deadline })],
    pool: examplePool(1),
  });
  harness.silentInstances.add('engine-0');
  for (let number = 0; number <= QUEUED_REQUESTS; number += 1) {
    harness.submitRequest(exampleRequest(`request-${number}`), 10);
  }
  return harness;
}

function countFailures({ counts }: EntryHarness): Record<string, number> {
  const failures = [...counts].filter(([name]) => name.startsWith('refusals/'));
  return Object.fromEntries(failures);
}

// Guards against a queued request that counts twice as failed, because it is failed again in the
// event that has ended it. Its entry reads the clock late, so that both deadlines have passed.
test('a queued request that its deadline has ended is not failed again', () => {
  const harness = makeHarnessWithQueue();
  harness.freeze(WHOLE_ANSWER_MILLISECONDS + 100);
  harness.timeline.runUntil(WHOLE_ANSWER_MILLISECONDS + 500);
  const failures = countFailures(harness);
  assert.deepEqual(failures, { 'refusals/deadlineExceeded': QUEUED_REQUESTS + 1 });
});

// Guards against a queued request that counts twice as failed at the end of a shutdown.
test('a queued request that the shutdown has ended is not failed again', () => {
  const harness = makeHarnessWithQueue();
  const endAt = FIRST_TOKEN_MILLISECONDS + 100;
  harness.send({ type: 'shutdownStarted', acceptUntil: endAt, endAt });
  harness.freeze(endAt);
  harness.timeline.runUntil(endAt + 100);
  const failures = countFailures(harness);
  assert.deepEqual(failures, {
    'refusals/draining': QUEUED_REQUESTS,
    'refusals/answerCut': 1,
  });
});

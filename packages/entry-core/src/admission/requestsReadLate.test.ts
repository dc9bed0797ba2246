/** Requests that waited in the sockets of a process that was behind. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineSpeed } from '@hornbeampond/testing';
import { EntryHarness } from '../testing/EntryHarness.js';
import {
  examplePool,
  exampleRequest,
  exampleRoute,
  makeDeadlineFields,
} from '../testing/examples.js';

const DEADLINE = 600;
const STALL = 1500;

const speed: EngineSpeed = {
  concurrency: 8,
  prefillMillisecondsPerToken: 0.2,
  decodeMillisecondsPerToken: 10,
  cachedPrefixes: 100,
};

/** An entry whose process has stalled until now. */
function makeStalledEntry(): EntryHarness {
  const harness = new EntryHarness({
    servers: 2,
    speed,
    routes: [exampleRoute(makeDeadlineFields(DEADLINE))],
    pool: examplePool(speed.concurrency),
  });
  harness.timeline.runUntil(STALL);
  return harness;
}

function receive(harness: EntryHarness, requestId: string, waited: number): void {
  const request = { ...exampleRequest(requestId), patience: DEADLINE };
  const { now } = harness.timeline;
  harness.send({ type: 'requestArrived', request, arrivedAt: now - waited });
}

// Guards against requests that are judged as if they had arrived when they were read.
test('a request that waited 400 ms of 600 is judged by the 200 ms that are left', () => {
  const harness = makeStalledEntry();
  receive(harness, 'waited', 400);
  const accepted = harness.entries[0]?.requests.get('waited');
  const { now } = harness.timeline;
  assert.equal(accepted?.firstTokenDueAt, now + 200);
  assert.equal(accepted?.wholeAnswerDueAt, now + 200);
});

// Guards against requests that are sent to a backend server although nobody waits for the answer.
test('a request that is read after its deadline is refused as not run and sent nowhere', () => {
  const harness = makeStalledEntry();
  receive(harness, 'too-late', 700);
  const [entry] = harness.entries;
  assert.equal(entry?.requests.size, 0);
  assert.equal(entry?.attempts.size, 0);
});

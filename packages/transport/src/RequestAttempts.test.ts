import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StoreResponse } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { PeerRequestError } from './PeerClient.js';
import { classifyRequestError, classifyStoreResponse, RequestAttempts } from './RequestAttempts.js';

// Guards against one cause for all refusals: each answer of a store has a kind of its own.
test('answers of stores are told apart', () => {
  const responses: StoreResponse[] = [
    { type: 'notLeader' },
    { type: 'notLeader', leader: 'store-2' },
    { type: 'unavailable', reason: 'diskFull' },
    { type: 'unavailable', reason: 'logBacklog' },
    { type: 'unavailable', reason: 'too few stores have joined yet' },
    { type: 'unavailable', reason: 'no configuration has been sent yet' },
    { type: 'unavailable', reason: 'another' },
    { type: 'unsure', reason: 'leadership was lost' },
    { type: 'accepted' },
  ];
  assert.deepEqual(
    responses.map((response) => classifyStoreResponse(response)?.kind),
    [
      'noLeaderKnown',
      'notLeader',
      'readOnly',
      'logBacklog',
      'tooFewStores',
      'nothingConfigured',
      'otherRefusal',
      'unsure',
      undefined,
    ],
  );
  const lost = new PeerRequestError('the connection was lost', 'maybe', 'connectionLost');
  assert.equal(classifyRequestError(lost).kind, 'connectionLost');
});

// Guards against a line that names the last store's answer only, or not how old the others are.
test('the summary holds the last answer of each store and the open connections', () => {
  const timers = new ManualTimerService();
  const attempts = new RequestAttempts(timers);
  assert.equal(attempts.summarize().cause, 'notAsked');
  attempts.recordConnections(0, 0);
  assert.equal(attempts.summarize().cause, 'noStore');
  attempts.recordConnections(2, 3);
  attempts.recordAnswer('store-1', { kind: 'readOnly', reason: 'diskFull' });
  timers.advance(40);
  attempts.recordConnections(2, 3);
  attempts.recordAnswer('store-2', { kind: 'notLeader', leader: 'store-1' });
  assert.deepEqual(attempts.summarize(), {
    cause: 'notLeader',
    attempts: 3,
    duration: 40,
    openConnections: 2,
    knownStores: 3,
    answers: {
      'store-1': { kind: 'readOnly', reason: 'diskFull', age: 40 },
      'store-2': { kind: 'notLeader', leader: 'store-1', age: 0 },
    },
  });
  attempts.recordConnections(0, 3);
  assert.equal(attempts.summarize().cause, 'noConnection');
});

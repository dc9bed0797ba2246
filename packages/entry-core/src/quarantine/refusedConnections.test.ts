/** Requests that were sent to a backend server after it had crashed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const CRASHED = 'wien-a-engine-1';

/** Requests in progress of which at least three are about to connect to an engine that has crashed. */
function crashBeforeConnecting(digestOf: (name: string) => string = (name) => name) {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2, 'wien-b': 2 } });
  const { entry } = cluster;
  const callers = Array.from({ length: 8 }, (_, number) =>
    entry.submitRequest(makeRequest(`${number}`, { digest: digestOf(`${number}`) })),
  );
  const connecting = [...entry.state.attempts.values()].filter(
    ({ instance }) => instance === CRASHED,
  );
  assert.ok(connecting.length >= 3);
  cluster.engine(CRASHED).streams.clear();
  cluster.engine(CRASHED).die();
  const fail = (attemptId: string, failure: 'connectFailed' | 'connectionLost') =>
    entry.send({
      type: 'attemptFailed',
      attemptId,
      failure,
      sent: failure === 'connectFailed' ? 'nothing' : 'maybe',
      tokens: 0,
      answerStarted: false,
    });
  return { cluster, entry, callers, connecting, fail };
}

// Guards against requests that are isolated, refused and at the next crash quarantined although no byte
// of them reached the server that crashed.
test('requests whose connections a crashed server refused are no suspects', () => {
  const { cluster, entry, callers, connecting, fail } = crashBeforeConnecting();
  connecting.forEach(({ attemptId }) => fail(attemptId, 'connectFailed'));
  const loss = entry.state.quarantine.unresolvedLosses.get(CRASHED);
  assert.deepEqual([...(loss?.requestsInProgress.keys() ?? ['no loss'])], []);
  cluster.runUntilAnswered();
  assert.equal(entry.state.quarantine.lastCrashes.has(CRASHED), true);
  assert.equal(entry.count('retries/connectFailed'), connecting.length);
  assert.ok(callers.every(({ finalAnswers }) => finalAnswers[0]?.type === 'whole'));
  assert.deepEqual(cluster.findViolations(), []);
});

// Guards against a request that crashed the server and escapes, because others, or a copy of it, were
// refused afterwards.
test('a request that reached the server stays a suspect when others were refused', () => {
  [(name: string) => name, () => 'copies'].forEach((digestOf) => {
    const { entry, connecting, fail } = crashBeforeConnecting(digestOf);
    const [reached, ...refused] = connecting;
    assert.ok(reached !== undefined);
    fail(reached.attemptId, 'connectionLost');
    refused.forEach(({ attemptId }) => fail(attemptId, 'connectFailed'));
    const loss = entry.state.quarantine.unresolvedLosses.get(CRASHED);
    assert.deepEqual([...(loss?.requestsInProgress.keys() ?? [])], [digestOf(reached.requestId)]);
  });
});

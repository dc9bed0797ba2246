import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EntryReport } from '@hornbeampond/schema';
import { livePeers } from '../index.js';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const report: EntryReport = {
  type: 'entryReport',
  instance: 'entry-9',
  dataCentre: 'wien-b',
  incarnation: 5,
  sequence: 7,
  leaving: false,
  revision: 1,
  inProgress: {},
  leavingBackendServers: {},
  suspects: [],
};

function livePeerNames(cluster: SimulatedCluster): string[] {
  return livePeers(cluster.entry.state).map((peer) => peer.report.instance);
}

// Operators see the peer as live until it has missed three reports. An entry that dies says nothing, so
// its silence is all there is to go by; when it reports again it counts at once.
test('a peer that falls silent is not counted live', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 }, entries: 2 });
  cluster.advance(2000);
  assert.deepEqual(livePeerNames(cluster), ['entry-2']);
  cluster.entryAt(1).alive = false;
  cluster.advance(4100);
  assert.deepEqual(livePeerNames(cluster), []);
  cluster.entryAt(1).alive = true;
  cluster.advance(1100);
  assert.deepEqual(livePeerNames(cluster), ['entry-2']);
});

// Reports overtake each other and are repeated. An older one must not bring back what a newer one has
// taken away, and those of a restarted peer start again at a low sequence but count.
test('only newer reports count', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 } });
  const { entry } = cluster;
  const receive = (fields: Partial<EntryReport>) => {
    entry.send({ type: 'entryReported', report: { ...report, ...fields } });
    return entry.state.membership.peers.get('entry-9')?.report.sequence;
  };
  assert.equal(receive({}), 7);
  assert.equal(receive({ sequence: 6, leaving: true }), 7);
  assert.equal(receive({ incarnation: 4, sequence: 99 }), 7);
  assert.equal(receive({ incarnation: 6, sequence: 1 }), 1);
  assert.equal(receive({ incarnation: 6, sequence: 2, leaving: true }), 2);
  assert.deepEqual(livePeerNames(cluster), []);
});

// Callers of a stopping entry see whole answers. It still serves those that the balancer sends within its
// delay, tells its peers at once that it leaves, and is ready to exit when nothing is in progress.
test('a graceful stop under load cuts nothing', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 }, entries: 2 });
  for (let number = 1; number <= 20; number += 1) {
    cluster.entry.submitRequest(makeRequest(`request-${number}`));
  }
  cluster.advance(500);
  const { now } = cluster.clock();
  cluster.entry.send({ type: 'shutdownStarted', acceptUntil: now + 2000, endAt: now + 28_000 });
  cluster.advance(100);
  assert.equal(livePeers(cluster.entryAt(1).state).length, 0);
  const meanwhile = cluster.entry.submitRequest(makeRequest('meanwhile'));
  cluster.advance(2000);
  const tooLate = cluster.entry.submitRequest(makeRequest('too-late'));
  cluster.runUntilAnswered();
  cluster.advance(100);
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(meanwhile.finalAnswers[0]?.type, 'whole');
  const refused = tooLate.finalAnswers[0];
  assert.equal(refused?.type === 'problem' && refused.kind, 'draining');
  assert.equal(
    cluster.callers().filter(({ finalAnswers: finals }) => finals[0]?.type === 'whole').length,
    21,
  );
  assert.equal(cluster.entry.log.filter((line) => line.includes('shutdownReady')).length, 1);
});

// The caller of a stream too long for the platform's limit sees an error event, never a cut that looks
// complete, with what it has so far and when to come back. The entry ends inside the limit.
test('a stop at the limit hands callers a resumable end', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  const caller = cluster.entry.submitRequest(makeRequest('long', { maxTokens: 2000 }));
  cluster.advance(500);
  const { now } = cluster.clock();
  cluster.entry.send({ type: 'shutdownStarted', acceptUntil: now + 1000, endAt: now + 5000 });
  cluster.advance(5100);
  const final = caller.finalAnswers[0];
  assert.ok(final?.type === 'problem');
  assert.deepEqual([final.kind, final.ran, final.at - now], ['answerCut', 'unknown', 5000]);
  assert.deepEqual(cluster.findViolations(), []);
  assert.equal(cluster.entry.log.filter((line) => line.includes('shutdownReady')).length, 1);
});

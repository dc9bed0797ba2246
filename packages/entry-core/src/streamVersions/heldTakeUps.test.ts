/** Requests for the rest of a stream that wait for a new list: in which order things may happen meanwhile. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster, type CallerRecord } from '../driver/index.js';

const DATA_CENTRE = 'wien-a';
const LIST_INTERVAL_MILLISECONDS = 1000;
const SETTLED_MILLISECONDS = 3000;

/** Until the stores have answered; the list is read from then on. */
const ORIGIN_ANSWERED_MILLISECONDS = 10;

function startCluster(): SimulatedCluster {
  const cluster = new SimulatedCluster({
    engines: { [DATA_CENTRE]: 4 },
    versions: ['v1'],
    entries: 2,
    listIntervalMilliseconds: LIST_INTERVAL_MILLISECONDS,
  });
  cluster.advance(SETTLED_MILLISECONDS);
  return cluster;
}

/** A stream that broke off, whose origin nobody knows. */
function loseStream(cluster: SimulatedCluster): CallerRecord {
  const stream = cluster.entryAt(0).submitRequest(makeRequest('stream', { maxTokens: 400 }));
  while (stream.tokens.length < 10) cluster.advance(10);
  cluster.forgetOrigins();
  cluster.entryAt(0).kill();
  return stream;
}

function describeEnd({ finalAnswers }: CallerRecord): string | undefined {
  const [end] = finalAnswers;
  return end?.type === 'problem' ? end.kind : end?.type;
}

// Guards against a list that was asked for before the caller came and arrives while it waits.
test('a list that was asked for before the caller came decides nothing', () => {
  const cluster = startCluster();
  const instances = [...cluster.entryAt(1).state.backendServers.values()].map(
    ({ platformInstance }) => platformInstance,
  );
  const stream = loseStream(cluster);
  const entry = cluster.entryAt(1);
  const readAt = cluster.clock().now;
  cluster.advance(10);
  const again = entry.takeUp(stream, 'again');
  cluster.advance(ORIGIN_ANSWERED_MILLISECONDS);
  entry.send({ type: 'instancesListed', instances, readAt });
  assert.equal(entry.state.takeUpsAwaitingList.size, 1);
  assert.equal(entry.state.requests.has('again'), false);
  cluster.runUntilAnswered();
  assert.equal(describeEnd(again), 'whole');
});

// Guards against callers that are forgotten because they came while the list was read for another one.
test('callers that come one after another are all decided on', () => {
  const cluster = startCluster();
  const stream = loseStream(cluster);
  const again = Array.from({ length: 20 }, (_, number) => {
    cluster.advance(10);
    return cluster.entryAt(1).takeUp(stream, `again-${number}`);
  });
  cluster.runUntilAnswered();
  assert.ok(again.every((caller) => describeEnd(caller) === 'whole'));
  assert.equal(cluster.entryAt(1).state.takeUpsAwaitingList.size, 0);
});

// Guards against a caller who waits for its deadline, or is answered twice, if no list comes.
test('a caller is refused once if the list cannot be read', () => {
  const cluster = startCluster();
  const stream = loseStream(cluster);
  cluster.entryAt(1).reachesPlatform = false;
  const again = cluster.entryAt(1).takeUp(stream, 'again');
  cluster.advance(1000);
  assert.equal(describeEnd(again), 'versionUnavailable');
  cluster.entryAt(1).reachesPlatform = true;
  cluster.advance(5000);
  assert.equal(again.finalAnswers.length, 1);
});

// Guards against a request that is sent for a caller who has left, and one that is held for good.
test('a caller that leaves while the list is read is forgotten', () => {
  const cluster = startCluster();
  const stream = loseStream(cluster);
  const entry = cluster.entryAt(1);
  entry.takeUp(stream, 'again');
  cluster.advance(ORIGIN_ANSWERED_MILLISECONDS);
  entry.send({ type: 'callerGone', requestId: 'again' });
  cluster.advance(1000);
  assert.equal(entry.state.takeUpsAwaitingList.size, 0);
  assert.equal(entry.state.requests.has('again'), false);
});

// Guards against an entry that was out of touch and has missed a version, of which a store knows: it has
// left by the time at which the list is read.
test('a version that came and went unseen by the entry is learnt from a store', () => {
  const cluster = startCluster();
  const entry = cluster.entryAt(1);
  entry.reachesPlatform = false;
  cluster.addEngine(`${DATA_CENTRE}-v2-engine-1`, DATA_CENTRE, 'v2');
  cluster.advance(500);
  const streams = Array.from({ length: 10 }, (_, number) =>
    cluster.entryAt(0).submitRequest(makeRequest(`stream-${number}`, { maxTokens: 400 })),
  );
  while (streams.some(({ tokens }) => tokens.length < 10)) cluster.advance(10);
  cluster.engine(`${DATA_CENTRE}-v2-engine-1`).die();
  cluster.publishAliveEngines();
  cluster.forgetOrigins();
  cluster.entryAt(0).kill();
  entry.reachesPlatform = true;
  const again = streams.map((stream, number) => entry.takeUp(stream, `again-${number}`));
  cluster.advance(2000);
  assert.ok(streams.some(({ versions }) => versions.has('v2')));
  assert.ok(again.every(({ versions }) => versions.size === 1));
  assert.ok(again.every((caller) => describeEnd(caller) === 'versionUnavailable'));
});

// Guards against callers who wait at an entry that stops until their list cannot be read any more.
test('callers that wait for a list are sent elsewhere once the entry takes no more requests', () => {
  const cluster = startCluster();
  const stream = loseStream(cluster);
  const entry = cluster.entryAt(1);
  entry.reachesPlatform = false;
  const again = entry.takeUp(stream, 'again');
  cluster.advance(ORIGIN_ANSWERED_MILLISECONDS);
  entry.send({ type: 'shutdownStarted', acceptUntil: cluster.clock().now });
  cluster.advance(100);
  assert.equal(describeEnd(again), 'draining');
});

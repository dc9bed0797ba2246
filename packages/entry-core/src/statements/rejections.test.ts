/** What entries learn from rejections by brittle backend servers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';
import { ServerRejections } from './ServerRejections.js';

const HELD = 10_000;
const FADED = 30_000;
const server = { instance: 'one', pool: 'engines' };
const sibling = { instance: 'two', pool: 'engines' };

function learnAt(rejections: ServerRejections, usedFraction: number, now: number): number {
  const stated = rejections.learn(server, usedFraction, { now, wallNow: now });
  rejections.record(server, stated, now);
  return stated.usableFraction;
}

// Guards against servers that are kept nearly empty by an entry that took them for emptier than they were.
test('a rejection bounds what a server gets by its load, and by a part of what was allowed at most', () => {
  const rejections = new ServerRejections();
  assert.equal(learnAt(rejections, 1.2, 0), 1);
  assert.equal(learnAt(rejections, 0.8, 1), 0.8);
  assert.equal(learnAt(rejections, 0.1, 2).toFixed(3), '0.560');
});

// Guards against servers each of which has to teach all entries anew, and against bounds that stay.
test('a rejection holds for the other servers of the pool, for a while', () => {
  const rejections = new ServerRejections();
  learnAt(rejections, 0.8, 0);
  const read = ({ instance, pool }: typeof server, now: number) =>
    rejections.usableFraction(instance, pool, now);
  assert.deepEqual([read(sibling, 0), read(server, HELD)], [0.8, 0.8]);
  assert.equal(read(sibling, (HELD + FADED) / 2), 0.9);
  assert.equal(read(server, FADED), 1);
  assert.equal(read({ instance: 'other', pool: 'bookings' }, 0), 1);
});

// Guards against news that goes round for ever: an entry that has forgotten it hears of it from one that has not.
test('what has faded is no longer reported, and not learnt again from a late report', () => {
  const rejections = new ServerRejections();
  learnAt(rejections, 0.8, 0);
  const { one } = rejections.describe(FADED - 1);
  assert.ok(one !== undefined);
  assert.deepEqual(rejections.describe(FADED), {});
  rejections.retainRecent(FADED);
  assert.equal(rejections.record(server, one, FADED), false);
});

/** Lets an engine reject one request, and returns what may be used of it as each entry knows it. */
function rejectAt(survivedRejections: number): number[] {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 }, entries: 3 });
  cluster.advance(1500);
  const [engine] = cluster.engines.values();
  assert.ok(engine !== undefined);
  Object.assign(engine, { room: 0, survivedRejections });
  cluster.entry.submitRequest(makeRequest('rejected'));
  cluster.advance(200);
  return cluster.entries.map(({ state: { rejections, clocks } }) =>
    rejections.usableFraction(engine.instance, 'engines', clocks.now),
  );
}

// Guards against 58 entries each of which gets a rejection of its own in one second.
test('what a rejection by a brittle server shows is told to the other entries', () => {
  assert.deepEqual(rejectAt(3), [0.7, 0.7, 0.7]);
  assert.deepEqual(rejectAt(Infinity), [1, 1, 1]);
});

// Guards against a room that is taken for much smaller than it is by an entry that knows little of the others' work.
test('the load that a server states in its rejection shows its room', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 } });
  cluster.advance(1500);
  const { entry } = cluster;
  const [listed] = entry.state.backendServers.values();
  assert.ok(listed !== undefined);
  const { instance, pool } = listed.platformInstance;
  const rejectWithLoad = (running: number): number => {
    entry.submitRequest(makeRequest(`rejected-${running}`));
    const [attempt] = entry.state.attempts.values();
    assert.ok(attempt !== undefined);
    entry.send({ type: 'serverStated', instance, survivedRejections: 3 });
    const { wallNow: measuredAt } = cluster.clock();
    entry.send({ type: 'loadReported', report: { instance, measuredAt, running, queued: 1 } });
    cluster.advance(10);
    const { attemptId } = attempt;
    const failure = { failure: 'busy', sent: 'nothing', proof: 'declined' } as const;
    entry.send({ type: 'attemptFailed', attemptId, ...failure, tokens: 0, answerStarted: false });
    return entry.state.rejections.usableFraction(instance, pool, cluster.clock().now);
  };
  assert.equal(rejectWithLoad(27), 28 / 32);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const sixEngines = { 'wien-a': 3, 'wien-b': 3 };
const wienAEngines = ['wien-a-engine-1', 'wien-a-engine-2', 'wien-a-engine-3'];

function submitRequests(cluster: SimulatedCluster, requests: number, spacing: number): void {
  for (let number = 1; number <= requests; number += 1) {
    cluster.entry.submitRequest(makeRequest(`request-${number}`));
    cluster.advance(spacing);
  }
}

function assertAllComplete(cluster: SimulatedCluster): void {
  assert.deepEqual(cluster.findViolations(), []);
  const incomplete = cluster
    .callers()
    .filter(({ finalAnswers }) => finalAnswers[0]?.type !== 'whole');
  assert.deepEqual(
    incomplete.map(({ request }) => request.requestId),
    [],
  );
}

// All callers see their whole answers. At noon the whole of wien-a gets two seconds of notice at
// once. Streams that end in time are let finish, the others move to wien-b with their cache, the
// dearest first, and nothing is placed on an engine of the same wave. When the engines go, none
// of their streams is left.
test('a whole data centre is reclaimed at the noon rush', () => {
  const cluster = new SimulatedCluster({ engines: sixEngines });
  submitRequests(cluster, 60, 50);
  cluster.reclaimByPlatformList(wienAEngines, 2000);
  cluster.advance(1900);
  wienAEngines.forEach((instance) => assert.equal(cluster.engine(instance).streams.size, 0));
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
  assert.equal(cluster.entry.count('cacheMoves/moved') > 0, true);
  assert.equal(cluster.entry.count('retries/backendServerLost'), 0);
  assert.equal(cluster.entry.state.quarantine.suspects.size, 0);
});

// The wave's streams are spread over the engines that stay, because each move reserves its place
// at the target before it starts.
test('a wave does not flood one target', () => {
  const cluster = new SimulatedCluster({ engines: sixEngines });
  submitRequests(cluster, 60, 50);
  cluster.reclaimByPlatformList(wienAEngines, 2000);
  cluster.advance(1900);
  const sizes = [1, 2, 3].map((number) => cluster.engine(`wien-b-engine-${number}`).streams.size);
  assert.equal(Math.max(...sizes) - Math.min(...sizes) <= 3, true, `${sizes}`);
});

// Callers see whole answers after a pause. The whole pool is reclaimed and its list is empty for a while;
// what was accepted waits, goes on by offset at the replacement, and is not refused in between.
test('a whole pool is reclaimed and replaced', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  submitRequests(cluster, 10, 50);
  cluster.reclaimByPlatformList(['wien-a-engine-1', 'wien-a-engine-2'], 1000);
  cluster.advance(2000);
  cluster.listAliveEngines();
  assert.equal(cluster.entry.state.backendServers.size, 0);
  cluster.advance(3000);
  cluster.addEngine('wien-a-engine-3', 'wien-a');
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
});

// Callers are refused once no replacement has come for thirty seconds, long before their deadline.
test('a pool that stays empty ends what waits for it', () => {
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': 1 },
    wholeAnswerMilliseconds: 600_000,
  });
  const caller = cluster.entry.submitRequest(makeRequest('one', { maxTokens: 400 }));
  cluster.advance(1000);
  cluster.reclaimByPlatformList(['wien-a-engine-1'], 1000);
  cluster.advance(2000);
  cluster.listAliveEngines();
  cluster.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.kind, 'noBackendServer');
  assert.equal(final !== undefined && final.at < 33_000, true);
  assert.equal(cluster.entry.count('retriesRefused/noOtherBackendServer'), 1);
});

// Three engines get notice at the same moment, each with one stream, and three empty ones stay. No
// move has begun when the next target is chosen, so only the reservations tell the targets apart.
test('moves that start together go to different targets', () => {
  const cluster = new SimulatedCluster({ engines: sixEngines });
  submitRequests(cluster, 3, 10);
  cluster.advance(1500);
  cluster.reclaimByPlatformList(wienAEngines, 1500);
  const targets = [...cluster.entry.state.reclaims.moves.values()].map(({ to }) => to);
  assert.equal(new Set(targets).size, 3, `moves to ${targets}`);
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
});

// The caller sees its whole answer. Its engine gets notice and its cache is on the way; then the
// target dies, the move comes to nothing, and the stream is resumed by its offset at a third engine
// while its first one still runs.
test('the target is lost in the middle of a move', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1, stpoelten: 1 } });
  const caller = cluster.entry.submitRequest(
    makeRequest('one', { promptTokens: 4000, maxTokens: 400 }),
  );
  cluster.advance(3000);
  cluster.reclaim(['wien-a-engine-1'], 3000);
  const move = [...cluster.entry.state.reclaims.moves.values()][0];
  assert.ok(move !== undefined);
  cluster.advance(100);
  cluster.engine(move.to).die();
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.equal(cluster.entry.count('cacheMoves/failed'), 1);
  assert.equal(cluster.entry.count('recomputedTokens/reclaimResume') >= 4000, true);
});

// The caller sees its whole answer. Its engine dies in the middle of the move, long before the time
// that the notice named. The stream is resumed by its offset, and nobody is suspected: the end was
// announced. The move's late answer finds no move and changes nothing.
test('the source is lost in the middle of a move', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 2 } });
  cluster.entry.submitRequest(makeRequest('one', { promptTokens: 4000, maxTokens: 400 }));
  cluster.advance(3000);
  cluster.reclaim(['wien-a-engine-1'], 3000);
  assert.equal(cluster.entry.state.reclaims.moves.size, 1);
  cluster.advance(100);
  cluster.engine('wien-a-engine-1').die();
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
  assert.equal(cluster.entry.state.quarantine.suspects.size, 0);
  assert.equal(cluster.entry.state.reclaims.moves.size, 0);
});

// The caller sees its whole answer. Engines cannot move caches at all, so every move fails, and each
// stream is resumed by its offset while its engine is still there.
test('moves that all fail fall back to resumes', () => {
  const cluster = new SimulatedCluster({ engines: sixEngines });
  cluster.movesFail = true;
  submitRequests(cluster, 30, 50);
  cluster.reclaimByPlatformList(wienAEngines, 2000);
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
  assert.equal(cluster.entry.count('cacheMoves/moved'), 0);
  assert.equal(cluster.entry.count('retries/reclaimNotice') > 0, true);
});

// The caller sees its whole answer from the engine on notice: at its measured rate even the
// longest answer it may get ends in time, so nothing is moved and nothing is computed again.
test('a stream that fits the notice is let finish', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 } });
  cluster.entry.submitRequest(makeRequest('one', { maxTokens: 100 }));
  cluster.advance(1500);
  cluster.reclaim(['wien-a-engine-1'], 2000);
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
  assert.equal(cluster.entry.state.retries.waiting.size, 0);
  assert.equal(cluster.entry.count('retries/reclaimNotice'), 0);
  assert.equal(cluster.entry.count('cacheMoves/moved'), 0);
});

// The caller sees its whole answer from the engine on notice. It had just been sent there; the notice is long
// enough to see first how fast it goes, and it does end in time. Nothing is computed twice.
test('a stream that has just begun is measured under a long notice', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 } });
  cluster.entry.submitRequest(makeRequest('one'));
  cluster.advance(20);
  cluster.reclaim(['wien-a-engine-1'], 20_000);
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
  assert.equal(cluster.entry.count('retries/reclaimNotice'), 0);
});

// Callers see whole answers. The notice reaches one entry only; within two seconds the other sends
// the leaving engine nothing more, because its peer's report told of it.
test('a notice at one entry reaches the others', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 }, entries: 2 });
  cluster.entryAt(0).submitRequest(makeRequest('before'));
  cluster.advance(500);
  cluster.reclaim(['wien-a-engine-1'], 20_000, cluster.entryAt(1));
  cluster.advance(2000);
  cluster.entryAt(0).submitRequest(makeRequest('after'));
  cluster.advance(100);
  assert.equal(cluster.engine('wien-a-engine-1').received.has('before'), true);
  assert.equal(cluster.engine('wien-a-engine-1').received.has('after'), false);
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
});

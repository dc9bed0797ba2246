import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const lunchRush = { 'wien-a': 3, 'wien-b': 3 };
const wienA = ['wien-a-engine-1', 'wien-a-engine-2', 'wien-a-engine-3'];

function rush(world: SimulatedCluster, requests: number, spacing: number): void {
  for (let number = 1; number <= requests; number += 1) {
    world.entry.submitRequest(makeRequest(`request-${number}`));
    world.advance(spacing);
  }
}

function assertAllWhole(world: SimulatedCluster): void {
  assert.deepEqual(world.findViolations(), []);
  const cut = world.callers().filter(({ finalAnswers: finals }) => finals[0]?.type !== 'whole');
  assert.deepEqual(
    cut.map(({ request }) => request.requestId),
    [],
  );
}

// All callers see their whole answers. At noon the whole of wien-a gets two seconds of notice at
// once. Streams that end in time are let finish, the others move to wien-b with their cache, the
// dearest first, and nothing is placed on an engine of the same wave. When the engines go, none
// of their streams is left.
test('a whole data centre is reclaimed at the noon rush', () => {
  const world = new SimulatedCluster({ engines: lunchRush });
  rush(world, 60, 50);
  world.reclaimByPlatformList(wienA, 2000);
  world.advance(1900);
  wienA.forEach((instance) => assert.equal(world.engine(instance).streams.size, 0));
  world.runUntilAnswered();
  assertAllWhole(world);
  assert.equal(world.entry.count('cacheMoves/moved') > 0, true);
  assert.equal(world.entry.count('retries/backendServerLost'), 0);
  assert.equal(world.entry.state.quarantine.suspects.size, 0);
});

// The wave's streams are spread over the engines that stay, because each move reserves its place
// at the target before it starts.
test('a wave does not flood one target', () => {
  const world = new SimulatedCluster({ engines: lunchRush });
  rush(world, 60, 50);
  world.reclaimByPlatformList(wienA, 2000);
  world.advance(1900);
  const sizes = [1, 2, 3].map((number) => world.engine(`wien-b-engine-${number}`).streams.size);
  assert.equal(Math.max(...sizes) - Math.min(...sizes) <= 3, true, `${sizes}`);
});

// Callers see whole answers after a pause. The whole pool is reclaimed and its list is empty for a while;
// what was accepted waits, goes on by offset at the replacement, and is not refused in between.
test('a whole pool is reclaimed and replaced', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  rush(world, 10, 50);
  world.reclaimByPlatformList(['wien-a-engine-1', 'wien-a-engine-2'], 1000);
  world.advance(2000);
  world.listAliveEngines();
  assert.equal(world.entry.state.backendServers.size, 0);
  world.advance(3000);
  world.addEngine('wien-a-engine-3', 'wien-a');
  world.runUntilAnswered();
  assertAllWhole(world);
});

// Callers are refused once no replacement has come for thirty seconds, long before their deadline.
test('a pool that stays empty ends what waits for it', () => {
  const world = new SimulatedCluster({
    engines: { 'wien-a': 1 },
    wholeAnswerMilliseconds: 600_000,
  });
  const caller = world.entry.submitRequest(makeRequest('one', { maxTokens: 400 }));
  world.advance(1000);
  world.reclaimByPlatformList(['wien-a-engine-1'], 1000);
  world.advance(2000);
  world.listAliveEngines();
  world.runUntilAnswered();
  const final = caller.finalAnswers[0];
  assert.equal(final?.type === 'problem' && final.kind, 'noBackendServer');
  assert.equal(final !== undefined && final.at < 33_000, true);
  assert.equal(world.entry.count('retriesRefused/noOtherBackendServer'), 1);
});

// Three engines get notice at the same moment, each with one stream, and three empty ones stay. No
// move has begun when the next target is chosen, so only the reservations tell the targets apart.
test('moves that start together go to different targets', () => {
  const world = new SimulatedCluster({ engines: lunchRush });
  rush(world, 3, 10);
  world.advance(1500);
  world.reclaimByPlatformList(wienA, 1500);
  const targets = [...world.entry.state.reclaims.moves.values()].map(({ to }) => to);
  assert.equal(new Set(targets).size, 3, `moves to ${targets}`);
  world.runUntilAnswered();
  assertAllWhole(world);
});

// The caller sees its whole answer. Its engine gets notice and its cache is on the way; then the
// target dies, the move comes to nothing, and the stream is resumed by its offset at a third engine
// while its first one still runs.
test('the target is lost in the middle of a move', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1, stpoelten: 1 } });
  const caller = world.entry.submitRequest(
    makeRequest('one', { promptTokens: 4000, maxTokens: 400 }),
  );
  world.advance(3000);
  world.reclaim(['wien-a-engine-1'], 3000);
  const move = [...world.entry.state.reclaims.moves.values()][0];
  assert.ok(move !== undefined);
  world.advance(100);
  world.engine(move.to).die();
  world.runUntilAnswered();
  assertAllWhole(world);
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  assert.equal(world.entry.count('cacheMoves/failed'), 1);
  assert.equal(world.entry.count('recomputedTokens/reclaimResume') >= 4000, true);
});

// The caller sees its whole answer. Its engine dies in the middle of the move, long before the time
// that the notice named. The stream is resumed by its offset, and nobody is suspected: the end was
// announced. The move's late answer finds no move and changes nothing.
test('the source is lost in the middle of a move', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 2 } });
  world.entry.submitRequest(makeRequest('one', { promptTokens: 4000, maxTokens: 400 }));
  world.advance(3000);
  world.reclaim(['wien-a-engine-1'], 3000);
  assert.equal(world.entry.state.reclaims.moves.size, 1);
  world.advance(100);
  world.engine('wien-a-engine-1').die();
  world.runUntilAnswered();
  assertAllWhole(world);
  assert.equal(world.entry.state.quarantine.suspects.size, 0);
  assert.equal(world.entry.state.reclaims.moves.size, 0);
});

// The caller sees its whole answer. Engines cannot move caches at all, so every move fails, and each
// stream is resumed by its offset while its engine is still there.
test('moves that all fail fall back to resumes', () => {
  const world = new SimulatedCluster({ engines: lunchRush });
  world.movesFail = true;
  rush(world, 30, 50);
  world.reclaimByPlatformList(wienA, 2000);
  world.runUntilAnswered();
  assertAllWhole(world);
  assert.equal(world.entry.count('cacheMoves/moved'), 0);
  assert.equal(world.entry.count('retries/reclaimNotice') > 0, true);
});

// The caller sees its whole answer from the engine on notice: at its measured rate even the
// longest answer it may get ends in time, so nothing is moved and nothing is computed again.
test('a stream that fits the notice is let finish', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 } });
  world.entry.submitRequest(makeRequest('one', { maxTokens: 100 }));
  world.advance(1500);
  world.reclaim(['wien-a-engine-1'], 2000);
  world.runUntilAnswered();
  assertAllWhole(world);
  assert.equal(world.entry.state.retries.waiting.size, 0);
  assert.equal(world.entry.count('retries/reclaimNotice'), 0);
  assert.equal(world.entry.count('cacheMoves/moved'), 0);
});

// The caller sees its whole answer from the engine on notice. It had just been sent there; the notice is long
// enough to see first how fast it goes, and it does end in time. Nothing is computed twice.
test('a stream that has just begun is measured under a long notice', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 } });
  world.entry.submitRequest(makeRequest('one'));
  world.advance(20);
  world.reclaim(['wien-a-engine-1'], 20_000);
  world.runUntilAnswered();
  assertAllWhole(world);
  assert.equal(world.entry.count('retries/reclaimNotice'), 0);
});

// Callers see whole answers. The notice reaches one entry only; within two seconds the other sends
// the leaving engine nothing more, because its peer's report told of it.
test('a notice at one entry reaches the others', () => {
  const world = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 }, entries: 2 });
  world.entryAt(0).submitRequest(makeRequest('before'));
  world.advance(500);
  world.reclaim(['wien-a-engine-1'], 20_000, world.entryAt(1));
  world.advance(2000);
  world.entryAt(0).submitRequest(makeRequest('after'));
  world.advance(100);
  assert.equal(world.engine('wien-a-engine-1').received.has('before'), true);
  assert.equal(world.engine('wien-a-engine-1').received.has('after'), false);
  world.runUntilAnswered();
  assertAllWhole(world);
});

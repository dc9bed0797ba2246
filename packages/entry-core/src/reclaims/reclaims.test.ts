import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const sixEngines = { 'wien-a': 3, 'wien-b': 3 };
const wienAEngines = ['wien-a-engine-1', 'wien-a-engine-2', 'wien-a-engine-3'];

function submitRequests(
  cluster: SimulatedCluster,
  requestCount: number,
  spacingMilliseconds: number,
): void {
  for (let number = 1; number <= requestCount; number += 1) {
    cluster.entry.submitRequest(makeRequest(`request-${number}`));
    cluster.advance(spacingMilliseconds);
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

// Guards against streams lost with a reclaimed data centre: those that finish in time stay, the
// others move to the remaining engines, and none runs on a reclaimed engine when it stops.
test('all streams survive the reclaim of a whole data centre under load', () => {
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

// Guards against overloading one target: each move reserves its place before it starts.
test('streams of a reclaimed data centre are spread evenly over the targets', () => {
  const cluster = new SimulatedCluster({ engines: sixEngines });
  submitRequests(cluster, 60, 50);
  cluster.reclaimByPlatformList(wienAEngines, 2000);
  cluster.advance(1900);
  const sizes = [1, 2, 3].map((number) => cluster.engine(`wien-b-engine-${number}`).streams.size);
  assert.equal(Math.max(...sizes) - Math.min(...sizes) <= 3, true, `${sizes}`);
});

// Guards against refusing accepted requests while a pool is empty: they wait and resume at the
// replacement.
test('streams resume after a whole pool is reclaimed and replaced', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  submitRequests(cluster, 10, 50);
  cluster.reclaimByPlatformList(['wien-a-engine-1', 'wien-a-engine-2'], 1000);
  cluster.advance(2000);
  cluster.publishAliveEngines();
  assert.equal(cluster.entry.state.backendServers.size, 0);
  cluster.advance(3000);
  cluster.addEngine('wien-a-engine-3', 'wien-a');
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
});

// Guards against holding requests until their deadline when no replacement is started.
test('requests waiting for a pool that stays empty are failed', () => {
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': 1 },
    wholeAnswerMilliseconds: 600_000,
  });
  const caller = cluster.entry.submitRequest(makeRequest('one', { maxTokens: 400 }));
  cluster.advance(1000);
  cluster.reclaimByPlatformList(['wien-a-engine-1'], 1000);
  cluster.advance(2000);
  cluster.publishAliveEngines();
  cluster.runUntilAnswered();
  const finalAnswer = caller.finalAnswers[0];
  assert.equal(finalAnswer?.type === 'problem' && finalAnswer.kind, 'noBackendServer');
  assert.equal(finalAnswer !== undefined && finalAnswer.at < 33_000, true);
  assert.equal(cluster.entry.count('retriesRefused/noOtherBackendServer'), 1);
});

// Guards against choosing one target for moves that start at the same time. No move has begun when
// the next target is chosen, so only the reservations tell the targets apart.
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

// Guards against a lost stream when the target of its cache move crashes: it is resumed at a third
// engine.
test('a stream is resumed if the target crashes during its cache move', () => {
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

// Guards against a lost stream, and against suspecting its request, when an engine under notice
// stops early. The late answer to the cache move must be ignored.
test('a stream is resumed if the source stops during its cache move', () => {
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

// Guards against streams that are lost because their caches cannot be moved: each is resumed from
// its offset in time.
test('streams whose cache moves fail are resumed from their offset', () => {
  const cluster = new SimulatedCluster({ engines: sixEngines });
  cluster.movesFail = true;
  submitRequests(cluster, 30, 50);
  cluster.reclaimByPlatformList(wienAEngines, 2000);
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
  assert.equal(cluster.entry.count('cacheMoves/moved'), 0);
  assert.equal(cluster.entry.count('retries/reclaimNotice') > 0, true);
});

// Guards against needless migration of a stream that finishes within the notice.
test('a stream that finishes within the notice stays on its engine', () => {
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

// Guards against prefilling a prompt twice: with a long notice, a new stream is measured before it
// is migrated.
test('a stream that has just begun is not migrated at the start of a long notice', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 } });
  cluster.entry.submitRequest(makeRequest('one'));
  cluster.advance(20);
  cluster.reclaim(['wien-a-engine-1'], 20_000);
  cluster.runUntilAnswered();
  assertAllComplete(cluster);
  assert.equal(cluster.entry.count('retries/reclaimNotice'), 0);
});

// Guards against sending work to a leaving engine whose notice reached only a peer; the report of
// the peer must announce it.
test('a reclaim notice received by one entry is applied by the others', () => {
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

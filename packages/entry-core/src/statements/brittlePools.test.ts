/** What the servers of a pool say of how brittle they are holds for those that have not answered yet. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from '../driver/index.js';

const SURVIVED = 4;
const MINUTE_MILLISECONDS = 60_000;

function startCluster() {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 }, entries: 2 });
  cluster.advance(1500);
  const [stating = ''] = cluster.engines.keys();
  const { entry } = cluster;
  const state = (instance: string, survivedRejections: number) =>
    entry.send({ type: 'serverStated', instance, survivedRejections });
  state(stating, SURVIVED);
  cluster.advance(200);
  const survivedAt = (instance: string) =>
    cluster.entries.map(({ state: { brittleness } }) => brittleness.at(instance));
  return { cluster, entry, stating, state, survivedAt };
}

// Guards against a new server that all entries flood because none has an answer of it.
test('a server that has said nothing is taken for as brittle as the others of its pool', () => {
  const { cluster, survivedAt } = startCluster();
  cluster.addEngine('successor', 'wien-a');
  assert.deepEqual(survivedAt('successor'), [SURVIVED, SURVIVED]);
  assert.deepEqual(survivedAt('not listed'), [Infinity, Infinity]);
});

// Guards against sound servers that are spared for long: what a server says itself holds.
test('what a server of a brittle pool says itself holds for it alone', () => {
  const { cluster, stating, state, survivedAt } = startCluster();
  cluster.addEngine('successor', 'wien-a');
  state('successor', Infinity);
  cluster.advance(1500);
  assert.deepEqual(survivedAt('successor'), [Infinity, Infinity]);
  assert.deepEqual(survivedAt(stating), [SURVIVED, SURVIVED]);
  cluster.advance(2 * MINUTE_MILLISECONDS);
  cluster.publishAliveEngines();
  assert.deepEqual(survivedAt('successor'), [Infinity, Infinity]);
});

// Guards against successors that are flooded where all servers that were brittle have gone at once.
test('what servers said that are gone holds for their pool for a minute', () => {
  const { cluster, entry, stating, survivedAt } = startCluster();
  cluster.advance(2 * MINUTE_MILLISECONDS);
  cluster.addEngine('successor', 'wien-a');
  cluster.engine(stating).alive = false;
  cluster.publishAliveEngines();
  assert.deepEqual(survivedAt('successor'), [SURVIVED, SURVIVED]);
  cluster.advance(MINUTE_MILLISECONDS);
  cluster.publishAliveEngines();
  assert.deepEqual(survivedAt('successor'), [Infinity, Infinity]);
  assert.equal(entry.state.brittleness.statedAt(stating), undefined);
});

// Guards against servers of one service that are spared for what those of another one say.
test('what servers of one pool say does not hold for another', () => {
  const { cluster, entry, survivedAt } = startCluster();
  const [server] = entry.state.backendServers.values();
  assert.ok(server !== undefined);
  const other = { ...server.platformInstance, instance: 'other', pool: 'bookings' };
  cluster.entries.forEach((each) => each.send({ type: 'instancesListed', instances: [other] }));
  assert.deepEqual(survivedAt('other'), [Infinity, Infinity]);
});

/** Backend servers that say in their answers that they leave, before any list shows it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, type SimulatedCluster } from '../driver/index.js';
import { makeCluster, runLoad } from './testing/runLoad.js';

const INSTANCE = 'wien-a-engine-1';

function countArrivals(cluster: SimulatedCluster, since: number): number {
  return cluster.engine(INSTANCE).arrivals.filter(({ at }) => at >= since).length;
}

// Guards against new work for a server that is about to stop, while the list of instances that would
// say so lags or cannot be read.
test('a backend server that says that it leaves gets no new work from any entry', () => {
  const cluster = makeCluster({ entries: 8 });
  cluster.engine(INSTANCE).isLeaving = true;
  runLoad(cluster, { requestsPerSecond: 40, duration: 1000 });
  const since = cluster.clock().now;
  assert.ok(countArrivals(cluster, 0) > 0);
  runLoad(cluster, { requestsPerSecond: 40, duration: 8000 });
  cluster.publishAliveEngines();
  runLoad(cluster, { requestsPerSecond: 40, duration: 2000 });
  assert.equal(countArrivals(cluster, since), 0);
  cluster.runUntilAnswered();
  assert.deepEqual(cluster.findViolations(), []);
});

// Guards against entries that would each find out by a request of their own.
test('an entry that was told of a departure tells the others', () => {
  const cluster = makeCluster({ entries: 8 });
  cluster.entry.send({ type: 'serverStated', instance: INSTANCE, isLeaving: true });
  cluster.advance(500);
  const since = cluster.clock().now;
  runLoad(cluster, { requestsPerSecond: 40, duration: 3000 });
  assert.equal(countArrivals(cluster, since), 0);
});

// Guards against a departure that is forgotten because the list omits the server for a moment.
test('a departure holds while the list omits the server and shows it again', () => {
  const cluster = makeCluster({ entries: 1 });
  const { entry } = cluster;
  entry.send({ type: 'serverStated', instance: INSTANCE, isLeaving: true });
  entry.send({ type: 'instancesListed', instances: [] });
  cluster.advance(1000);
  cluster.publishAliveEngines();
  runLoad(cluster, { requestsPerSecond: 40, duration: 3000 });
  assert.equal(cluster.engine(INSTANCE).arrivals.length, 0);
});

// Guards against streams that are cut although the server would have let them finish.
test('streams in progress at a backend server that leaves go on there', () => {
  const cluster = makeCluster({ entries: 1, enginesPerDataCentre: 1 });
  const caller = cluster.entry.submitRequest(makeRequest('one'));
  cluster.advance(1000);
  assert.equal(cluster.engine(INSTANCE).streams.size, 1);
  cluster.entry.send({ type: 'serverStated', instance: INSTANCE, isLeaving: true });
  cluster.runUntilAnswered();
  assert.equal(caller.finalAnswers[0]?.type, 'whole');
  const attempts = [...cluster.engines.values()].flatMap(({ arrivals }) => arrivals);
  assert.equal(attempts.length, 1);
});

import { test } from 'node:test';
import { matchSnapshot } from '@hornbeampond/testing';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

/** Returns the log of the entry without the lines that every request writes. */
function readLog(cluster: SimulatedCluster): string {
  return cluster.entry.log
    .filter((line) => !/configurationApplied|requestAccepted/.test(line))
    .join('\n');
}

/** The short stream finishes in time and stays; the long one moves to the other engine. */
function runNoticeScenario(): SimulatedCluster {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 } });
  cluster.entry.submitRequest(makeRequest('short', { maxTokens: 100 }));
  cluster.entry.submitRequest(makeRequest('long', { maxTokens: 400 }));
  cluster.advance(1500);
  cluster.reclaim(['wien-a-engine-1'], 2000);
  cluster.runUntilAnswered();
  return cluster;
}

/** The probe is refused, so both streams become suspects and are resumed on separate engines. */
function runSuddenDeathScenario(): SimulatedCluster {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 2 } });
  cluster.entry.submitRequest(makeRequest('first'));
  cluster.entry.submitRequest(makeRequest('second'));
  cluster.advance(1500);
  cluster.engine('wien-a-engine-1').die();
  cluster.runUntilAnswered();
  return cluster;
}

// Guards against steps of a migration in the wrong order, such as cancelling a stream before its
// target is chosen. Each log is compared with a snapshot.
test('the order of events at a notice and at a sudden death', async () => {
  await matchSnapshot(import.meta.url, 'notice', readLog(runNoticeScenario()));
  await matchSnapshot(import.meta.url, 'sudden death', readLog(runSuddenDeathScenario()));
});

import { test } from 'node:test';
import { matchSnapshot } from '@hornbeampond/testing';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

/** What the entry logged of a story, without what every request logs. */
function readLog(cluster: SimulatedCluster): string {
  return cluster.entry.log
    .filter((line) => !/configurationApplied|requestAccepted/.test(line))
    .join('\n');
}

/** The one stream that provably ends in time stays; the other moves and goes on at the target. */
function runNoticeScenario(): SimulatedCluster {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 } });
  cluster.entry.submitRequest(makeRequest('short', { maxTokens: 100 }));
  cluster.entry.submitRequest(makeRequest('long', { maxTokens: 400 }));
  cluster.advance(1500);
  cluster.reclaim(['wien-a-engine-1'], 2000);
  cluster.runUntilAnswered();
  return cluster;
}

/** The probe is refused, so both streams are suspects and go on apart from each other. */
function runSuddenDeathScenario(): SimulatedCluster {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 2 } });
  cluster.entry.submitRequest(makeRequest('first'));
  cluster.entry.submitRequest(makeRequest('second'));
  cluster.advance(1500);
  cluster.engine('wien-a-engine-1').die();
  cluster.runUntilAnswered();
  return cluster;
}

// Callers see whole answers in both stories. First an engine with two streams gets two seconds of
// notice, then one dies without any. The order of what the entry does is kept as snapshots, because each
// step rests on the one before: a stream is cancelled only once its next place is known.
test('the order of events at a notice and at a sudden death', async () => {
  await matchSnapshot(import.meta.url, 'notice', readLog(runNoticeScenario()));
  await matchSnapshot(import.meta.url, 'sudden death', readLog(runSuddenDeathScenario()));
});

import { test } from 'node:test';
import { matchSnapshot } from '@hornbeampond/testing';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

/** What the entry logged of a story, without what every request logs. */
function logOf(world: SimulatedCluster): string {
  return world.entry.log
    .filter((line) => !/configurationApplied|requestAccepted/.test(line))
    .join('\n');
}

/** The one stream that provably ends in time stays; the other moves and goes on at the target. */
function noticeStory(): SimulatedCluster {
  const world = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 1 } });
  world.entry.submitRequest(makeRequest('short', { maxTokens: 100 }));
  world.entry.submitRequest(makeRequest('long', { maxTokens: 400 }));
  world.advance(1500);
  world.reclaim(['wien-a-engine-1'], 2000);
  world.runUntilAnswered();
  return world;
}

/** The probe is refused, so both streams are suspects and go on apart from each other. */
function deathStory(): SimulatedCluster {
  const world = new SimulatedCluster({ engines: { 'wien-a': 1, 'wien-b': 2 } });
  world.entry.submitRequest(makeRequest('first'));
  world.entry.submitRequest(makeRequest('second'));
  world.advance(1500);
  world.engine('wien-a-engine-1').die();
  world.runUntilAnswered();
  return world;
}

// Callers see whole answers in both stories. First an engine with two streams gets two seconds of
// notice, then one dies without any. The order of what the entry does is kept as snapshots, because each
// step rests on the one before: a stream is cancelled only once its next place is known.
test('the order of events at a notice and at a sudden death', async () => {
  await matchSnapshot(import.meta.url, 'notice', logOf(noticeStory()));
  await matchSnapshot(import.meta.url, 'sudden death', logOf(deathStory()));
});

/**
 * Load that is spread over hundreds of entries: each of them sends a request or two a second and
 * depends on what it hears of the others.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeRequest, SimulatedCluster } from './index.js';

const ENTRY_COUNT = 200;
const STEP_MILLISECONDS = 10;

interface Load {
  readonly requestsPerStep: number;
  /** Entries that callers are connected to. */
  readonly busyEntries: number;
  readonly duration: number;
}

interface LoadResult {
  /** Most requests in progress at one engine, at any time of the second half. */
  readonly busiest: number;
  /** Mean number of requests in progress at an engine at the end. */
  readonly mean: number;
  readonly unanswered: number;
  /** Mean time until the first token. */
  readonly firstToken: number;
}

/** Sends requests to random entries for a while, watches the engines and waits for the answers. */
function runLoad(
  cluster: SimulatedCluster,
  { requestsPerStep, busyEntries, duration }: Load,
): LoadResult {
  const random = xoroshiro128plus(7);
  let busiest = 0;
  let mean = 0;
  for (let elapsed = 0; elapsed < duration; elapsed += STEP_MILLISECONDS) {
    for (let number = 0; number < requestsPerStep; number += 1) {
      const entry = cluster.entryAt(uniformInt(random, 1, busyEntries));
      entry.submitRequest(makeRequest(`request-${elapsed}-${number}`, { maxTokens: 40 }));
    }
    cluster.advance(STEP_MILLISECONDS);
    const inProgress = [...cluster.engines.values()].map(({ streams }) => streams.size);
    if (elapsed >= duration / 2) busiest = Math.max(busiest, ...inProgress);
    mean = inProgress.reduce((sum, count) => sum + count, 0) / inProgress.length;
  }
  cluster.runUntilAnswered(5000);
  const callers = cluster.callers();
  const unanswered = callers.filter(({ finalAnswers }) => finalAnswers[0]?.type !== 'whole');
  const delays = callers.map(({ arrivedAt, firstTokenAt = Infinity }) => firstTokenAt - arrivedAt);
  const firstToken = delays.reduce((sum, delay) => sum + delay, 0) / delays.length;
  return { busiest, mean, unanswered: unanswered.length, firstToken };
}

function makeCluster(enginesPerDataCentre: number): SimulatedCluster {
  return new SimulatedCluster({
    engines: { 'wien-a': enginesPerDataCentre, 'wien-b': enginesPerDataCentre },
    entries: ENTRY_COUNT,
    reportsThroughStore: true,
  });
}

// Guards against entries that all choose the same engines by work that is seconds old.
test('hundreds of entries spread their requests evenly over the engines', () => {
  const cluster = makeCluster(30);
  cluster.advance(1500);
  const load = { requestsPerStep: 4, busyEntries: ENTRY_COUNT - 1, duration: 3000 };
  const { busiest, mean, unanswered } = runLoad(cluster, load);
  assert.equal(unanswered, 0);
  assert.ok(busiest <= 2 * mean + 4, `${busiest} at the busiest engine, ${mean} in the mean`);
});

// One of hundreds of entries is down at most times, and callers are spread unevenly. Guards against
// entries that assume that each of the others has grown by as much as they have themselves: one
// request at each engine then makes all of them look full.
test('an entry that is down does not make the engines look full to the others', () => {
  const cluster = makeCluster(2);
  cluster.advance(1500);
  cluster.entryAt(0).alive = false;
  cluster.advance(4000);
  const { unanswered, firstToken } = runLoad(cluster, {
    requestsPerStep: 1,
    busyEntries: 20,
    duration: 3000,
  });
  assert.equal(unanswered, 0);
  assert.ok(firstToken <= 300, `the first token took ${firstToken} ms in the mean`);
});

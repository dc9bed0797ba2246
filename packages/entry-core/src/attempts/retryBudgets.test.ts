/** Retry budgets that each entry keeps for itself, and what they add up to. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeCluster, runLoad } from '../statements/testing/runLoad.js';

interface Overload {
  readonly entries: number;
  readonly requestsPerSecond: number;
  /** What a pool tolerates beyond a fifth of its requests. */
  readonly tolerated: number;
}

const DURATION_MILLISECONDS = 8000;
const TOLERATED_FRACTION_OF_REQUESTS = 0.2;

/** Loads a pool whose engines refuse everything and counts the attempts that reach them. */
function countAttempts({ entries, requestsPerSecond }: Overload) {
  const cluster = makeCluster({ entries, enginesPerDataCentre: 8 });
  runLoad(cluster, { requestsPerSecond, duration: 3000 });
  cluster.engines.forEach((engine) => Object.assign(engine, { busy: true }));
  const since = cluster.clock().now;
  runLoad(cluster, { requestsPerSecond, duration: DURATION_MILLISECONDS });
  const attempts = [...cluster.engines.values()]
    .flatMap(({ arrivals }) => arrivals)
    .filter(({ at }) => at >= since);
  const first = attempts.filter(({ attemptId }) => attemptId.endsWith('.1')).length;
  return { first, repeated: attempts.length - first };
}

// Guards against a retry storm on an overloaded pool: budgets of many entries, each of them small,
// add up to more than all requests.
test('the retries of all entries together stay a fraction of the requests, and a small burst', () => {
  const overloads: readonly Overload[] = [
    { entries: 8, requestsPerSecond: 48, tolerated: 48 },
    { entries: 64, requestsPerSecond: 430, tolerated: 160 },
    { entries: 200, requestsPerSecond: 300, tolerated: 430 },
  ];
  overloads.forEach((overload) => {
    const { first, repeated } = countAttempts(overload);
    const limit = first * TOLERATED_FRACTION_OF_REQUESTS + overload.tolerated;
    assert.ok(repeated <= limit, `${repeated} of ${limit} with ${overload.entries} entries`);
  });
});

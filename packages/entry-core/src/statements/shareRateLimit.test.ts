import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { shareRateLimit, type RateShare } from './shareRateLimit.js';
import { TokenBucket } from './TokenBucket.js';

function listShares(requestsPerSecond: number, entryCount: number): RateShare[] {
  const entries = Array.from({ length: entryCount }, (_, number) => `entry-${number}`);
  return entries
    .map((entry) => shareRateLimit({ backendServer: 'server', requestsPerSecond, entries }, entry))
    .filter(({ users }) => users > 0);
}

const limits = fc.double({ min: 0, max: 100, noNaN: true });
const entryCounts = fc.integer({ min: 1, max: 200 });

// Guards against limits that each entry keeps for itself and that add up to a multiple.
test('the shares of all entries add up to the limit', () => {
  fc.assert(
    fc.property(limits, entryCounts, (limit, entryCount) => {
      const sum = listShares(limit, entryCount).reduce(
        (total, { requestsPerSecond }) => total + requestsPerSecond,
        0,
      );
      assert.ok(Math.abs(sum - Math.max(0.1, limit)) < 1e-6);
    }),
    { numRuns: 30 },
  );
});

// Guards against a burst when many entries that have been idle send at the same moment: a server
// tolerates half more than its limit in 4 s, and 5 requests.
test('entries that send as soon as they may stay within what a server tolerates', () => {
  fc.assert(
    fc.property(limits, entryCounts, (limit, entryCount) => {
      const windowSeconds = 4;
      let requests = 0;
      listShares(limit, entryCount).forEach(({ requestsPerSecond }) => {
        const bucket = new TokenBucket(1, 0);
        bucket.fill(requestsPerSecond, 60_000);
        for (let at = 60_000; at <= 60_000 + windowSeconds * 1000; at += 10) {
          for (; bucket.fill(requestsPerSecond, at) >= 1; requests += 1) bucket.take();
        }
      });
      assert.ok(requests <= limit * windowSeconds * 1.5 + 5, `${requests} at ${limit} a second`);
    }),
    { numRuns: 30 },
  );
});

// Guards against a hash that ranks entries alike for all servers, so that some entries use none.
test('the entries that use a server differ from server to server', () => {
  const entries = Array.from({ length: 40 }, (_, number) => `entry-${number}`);
  const servers = Array.from({ length: 40 }, (_, number) => `server-${number}`);
  const usedServers = entries.map(
    (entry) =>
      servers.filter(
        (backendServer) =>
          shareRateLimit({ backendServer, requestsPerSecond: 1, entries }, entry).users > 0,
      ).length,
  );
  const usersOfSome = usedServers.filter((count) => count > 0).length;
  assert.ok(usersOfSome >= entries.length * 0.9, `${usersOfSome} entries use a server`);
  assert.ok(Math.max(...usedServers) <= 12, `${Math.max(...usedServers)} of 40 servers`);
});

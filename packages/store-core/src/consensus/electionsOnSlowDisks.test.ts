/**
 * Elections among stores whose disks take longer for a write than the election timeout, as on a busy
 * machine. An election needs two writes, one at the candidate and one at the voters.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Milliseconds } from '@hornbeampond/schema';
import { crash, findLeader } from './testing/modelCluster.js';
import { SlowDiskCluster, type SyncDuration } from './testing/SlowDiskCluster.js';

const settings = { electionTimeout: 400, heartbeatInterval: 100, unreachableMemberTimeout: 3000 };
const SEEDS = Array.from({ length: 20 }, (_, seed) => seed + 1);
const SIZES = [3, 4, 5] as const;

/** What callers bear after all stores were lost at once. */
const RECOVERY_MILLISECONDS: Milliseconds = 12_000;

/** What they bear after the loss of one store. */
const CATCH_UP_MILLISECONDS: Milliseconds = 4000;

const FAST: SyncDuration = { least: 1, most: 10 };
const HUNG: SyncDuration = { least: 4500, most: 4500 };
const FIRST_LETTER = 65;
const LETTERS = 58;

/** Names from which the stores draw other timeouts with each seed. */
function makeInstances(size: number, seed: number): string[] {
  return Array.from({ length: size }, (_, number) =>
    String.fromCharCode(FIRST_LETTER + ((seed * 7 + number * 11) % LETTERS)),
  );
}

function hasCommitted(cluster: SlowDiskCluster, count: number): () => boolean {
  return () => cluster.cluster.committed.length >= count;
}

function assertCommitsInTime(cluster: SlowDiskCluster, limit: Milliseconds, name: string): void {
  const count = cluster.cluster.committed.length + 1;
  const elapsed = cluster.runUntil(hasCommitted(cluster, count), limit);
  assert.equal(cluster.cluster.violation, undefined, name);
  assert.ok(hasCommitted(cluster, count)(), `${name}: nothing committed after ${elapsed} ms`);
}

const slowDisks: readonly SyncDuration[] = [
  { least: 100, most: 300 },
  { least: 300, most: 500 },
  { least: 500, most: 900 },
];

slowDisks.forEach((duration) => {
  // Guards against elections that each begin anew before the disks have written the votes of the last one:
  // no leader is ever elected, and no change is taken or read back.
  test(`stores whose syncs take ${duration.least} to ${duration.most} ms elect a leader`, () => {
    SIZES.forEach((size) =>
      SEEDS.forEach((seed) => {
        const voters = makeInstances(size, seed);
        const cluster = new SlowDiskCluster({ voters, settings }, () => duration, seed);
        assertCommitsInTime(cluster, RECOVERY_MILLISECONDS, `${size} stores, seed ${seed}`);
        const leader = findLeader(cluster.cluster);
        if (leader === undefined || size === 3) return;
        cluster.cluster = crash(cluster.cluster, leader.instance);
        assertCommitsInTime(cluster, RECOVERY_MILLISECONDS, `leader lost, ${size}, seed ${seed}`);
      }),
    );
  });
});

// Guards against a store whose disk hangs and which keeps the others from electing one of themselves.
test('a store whose disk hangs does not hold up the election of another', () => {
  SEEDS.forEach((seed) => {
    const voters = makeInstances(4, seed);
    const hung = voters[seed % voters.length];
    const durationOf = (instance: string) => (instance === hung ? HUNG : FAST);
    const cluster = new SlowDiskCluster({ voters, settings }, durationOf, seed);
    assertCommitsInTime(cluster, CATCH_UP_MILLISECONDS, `seed ${seed}`);
  });
});

// Guards against an election that takes longer on good disks because it allows for slow ones.
test('stores with good disks elect a leader with their first or second timeout', () => {
  SEEDS.forEach((seed) => {
    const voters = makeInstances(4, seed);
    const cluster = new SlowDiskCluster({ voters, settings }, () => FAST, seed);
    assertCommitsInTime(cluster, 4 * settings.electionTimeout, `seed ${seed}`);
  });
});

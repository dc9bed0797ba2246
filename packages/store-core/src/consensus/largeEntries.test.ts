import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConsensusSettings } from './ConsensusState.js';
import { estimateEntryBytes } from './estimateEntryBytes.js';
import {
  crash,
  dispatchEvent,
  fireTimer,
  makeCluster,
  restart,
  runUntilIdle,
  syncDisk,
  type ModelCluster,
} from './testing/modelCluster.js';

const INSTANCES = ['a', 'b', 'c'];
const COMMAND_BYTES = 1000;

/** Of one entry with a command of `COMMAND_BYTES` characters; the estimate allows three bytes each. */
const MAX_ENTRY_BYTES = 3 * COMMAND_BYTES + 100;

const settings: Partial<ConsensusSettings> = {
  bytesPerSnapshot: 5 * MAX_ENTRY_BYTES,
  trailingBytes: 2 * MAX_ENTRY_BYTES,
  maxLogBytes: 12 * MAX_ENTRY_BYTES,
};

function makeLedCluster(changed: Partial<ConsensusSettings> = {}): ModelCluster {
  const cluster = makeCluster({ voters: INSTANCES, settings: { ...settings, ...changed } });
  return runUntilIdle(fireTimer(cluster, 'a'));
}

function proposeLarge(cluster: ModelCluster, number: number): ModelCluster {
  const proposals = [
    { requestId: `large-${number}`, command: `${number}`.padEnd(COMMAND_BYTES, '.') },
  ];
  return dispatchEvent(cluster, 'a', { type: 'propose', proposals });
}

function logBytes(cluster: ModelCluster, instance: string): number {
  const entries = cluster.voters[instance]?.state?.log.entries ?? [];
  return entries.reduce((sum, entry) => sum + estimateEntryBytes(entry), 0);
}

function findLargestLog(cluster: ModelCluster): number {
  return Math.max(...INSTANCES.map((instance) => logBytes(cluster, instance)));
}

// Guards against stores that exhaust their memory: some hundred large configurations are far fewer than the entries
// after which a snapshot is due.
test('the logs of all stores are bounded in bytes while large entries are applied', () => {
  let cluster = makeLedCluster();
  for (let number = 0; number < 200; number += 1) {
    cluster = runUntilIdle(proposeLarge(cluster, number));
    const bytes = findLargestLog(cluster);
    assert.ok(bytes <= 8 * MAX_ENTRY_BYTES, `${bytes} bytes`);
  }
  assert.equal(cluster.violation, undefined);
  assert.equal(cluster.voters.c?.applied.length, 201);
});

test('a store that missed large entries catches up from a snapshot', () => {
  let cluster = crash(makeLedCluster(), 'c');
  for (let number = 0; number < 40; number += 1) {
    cluster = runUntilIdle(proposeLarge(cluster, number));
  }
  cluster = runUntilIdle(restart({ ...cluster, network: [] }, 'c'));
  for (let round = 0; round < 3; round += 1) cluster = runUntilIdle(fireTimer(cluster, 'a'));
  assert.equal(cluster.voters.c?.applied.length, 41);
  assert.equal(cluster.violation, undefined);
});

// Guards against a leader whose memory is exhausted by entries that its peers acknowledge while its own disk
// is too slow to save a snapshot, or that nobody acknowledges.
test('a leader refuses commands beyond the bytes that its log may hold, and takes them again later', () => {
  let cluster = crash(crash(makeLedCluster(), 'b'), 'c');
  for (let number = 0; number < 40; number += 1) cluster = proposeLarge(cluster, number);
  assert.ok(logBytes(cluster, 'a') <= 13 * MAX_ENTRY_BYTES);
  cluster = restart(restart({ ...cluster, network: [] }, 'b'), 'c');
  for (let round = 0; round < 3; round += 1) cluster = runUntilIdle(fireTimer(cluster, 'a'));
  const applied = cluster.voters.a?.applied.length ?? 0;
  cluster = runUntilIdle(proposeLarge(runUntilIdle(syncDisk(cluster, 'a', 99)), 99));
  assert.equal(cluster.voters.a?.applied.length, applied + 1);
  assert.equal(cluster.violation, undefined);
});

/** Stores whose disks take longer for a write than a leader waits for an answer. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  deliver,
  dispatchEvent,
  fireTimer,
  makeCluster,
  runUntilIdle,
  type ModelCluster,
} from './testing/modelCluster.js';

const INSTANCES = ['a', 'b', 'c'];
const FOLLOWERS = ['b', 'c'];

/** Longer than several election timeouts. */
const HEARTBEATS = 40;

function makeLedCluster(): ModelCluster {
  return runUntilIdle(fireTimer(makeCluster({ voters: INSTANCES }), 'a'));
}

/** Delivers all messages, also those that follow from them, while no disk finishes a write. */
function deliverAll(cluster: ModelCluster): ModelCluster {
  let next = cluster;
  for (let [message] = next.network; message !== undefined; [message] = next.network) {
    next = deliver(next, message, false, true);
  }
  return next;
}

function roleOf(cluster: ModelCluster, instance: string): string | undefined {
  return cluster.voters[instance]?.state?.role.type;
}

function passHeartbeats(cluster: ModelCluster, isCut: boolean): ModelCluster {
  let next = cluster;
  for (
    let heartbeat = 0;
    heartbeat < HEARTBEATS && roleOf(next, 'a') === 'leader';
    heartbeat += 1
  ) {
    next = fireTimer(next, 'a');
    next = isCut ? { ...next, network: [] } : deliverAll(next);
  }
  return next;
}

function propose(cluster: ModelCluster): ModelCluster {
  const proposals = [{ requestId: 'large', command: 'large' }];
  return dispatchEvent(cluster, 'a', { type: 'propose', proposals });
}

// Guards against a leader that takes stores which write slowly for unreachable: each large entry would
// cost an election, and where all disks are slow no change would be acknowledged.
test('a leader stays while its peers are still writing', () => {
  const cluster = passHeartbeats(deliverAll(propose(makeLedCluster())), false);
  assert.equal(roleOf(cluster, 'a'), 'leader');
  // Nothing is committed by the mere contact.
  assert.deepEqual(
    INSTANCES.map((instance) => cluster.voters[instance]?.applied.length),
    [1, 1, 1],
  );
  const written = runUntilIdle(cluster);
  assert.equal(written.voters.a?.applied.length, 2);
  assert.equal(written.violation, undefined);
});

// Guards against operators who are sent to a leader that is gone, for as long as a disk hangs.
test('a store that hears no leader while its disk is writing names none', () => {
  const writing = deliverAll(propose(makeLedCluster()));
  const cluster = fireTimer({ ...writing, network: [] }, 'b');
  assert.deepEqual(cluster.voters.b?.state?.role, { type: 'follower', leader: undefined });
});

// Guards against a leader that stays without a quorum: its callers would wait for it.
test('a leader without an answer of its peers steps down', () => {
  const cluster = passHeartbeats(deliverAll(propose(makeLedCluster())), true);
  assert.equal(roleOf(cluster, 'a'), 'follower');
  FOLLOWERS.forEach((instance) => assert.equal(roleOf(cluster, instance), 'follower'));
});

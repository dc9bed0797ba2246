import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allSafeguards } from './ConsensusState.js';
import {
  addressOf,
  crash,
  currentLeader,
  deliver,
  elapse,
  fireTimer,
  happen,
  loseDisk,
  makeCluster,
  propose,
  read,
  restart,
  settle,
  syncDisk,
  type ModelCluster,
} from './testing/modelCluster.js';

const TRIO = ['a', 'b', 'c'];

function elected(cluster: ModelCluster, instance = 'a'): ModelCluster {
  const next = settle(fireTimer(cluster, instance));
  assert.equal(next.violation, undefined);
  assert.equal(currentLeader(next)?.instance, instance);
  return next;
}

test('A leader is elected, commits a proposal and answers a read', () => {
  let cluster = elected(makeCluster({ voters: TRIO }));
  cluster = settle(propose(cluster, 'a'));
  cluster = settle(read(cluster, 'a'));
  assert.deepEqual(cluster.committed, ['1:noOperation', '1:write-0']);
  assert.equal(cluster.acknowledgedIndex, 2);
  assert.equal(cluster.answeredReads, 1);
  assert.equal(cluster.violation, undefined);
});

test('A founder takes in two more and each becomes a voter once caught up', () => {
  let cluster = makeCluster({ voters: [], spares: TRIO });
  const memberOf = (instance: string) => ({
    identity: `${instance}1`,
    address: addressOf(instance),
  });
  cluster = settle(happen(cluster, 'a', { type: 'found', member: memberOf('a') }));
  ['b', 'c'].forEach((instance) => {
    const change = { type: 'addLearner', member: memberOf(instance) } as const;
    cluster = happen(cluster, 'a', { type: 'changeMembership', requestId: instance, change });
    cluster = settle(cluster);
  });
  const members = cluster.voters.c?.state?.memberships.at(-1)?.membership.members;
  assert.deepEqual(
    members?.map(({ identity, role }) => `${identity} ${role}`),
    ['a1 voter', 'b1 voter', 'c1 voter'],
  );
  assert.equal(cluster.violation, undefined);
});

test('A laggard gets a snapshot, and the log stays bounded', () => {
  const settings = { entriesPerSnapshot: 10, trailingEntries: 2 };
  let cluster = elected(makeCluster({ voters: TRIO, settings }));
  cluster = crash(cluster, 'c');
  for (let write = 0; write < 100; write += 1) cluster = settle(propose(cluster, 'a'));
  assert.ok((cluster.voters.a?.state?.log.entries.length ?? 99) < 15);
  cluster = { ...cluster, network: [] };
  cluster = settle(fireTimer(settle(fireTimer(settle(restart(cluster, 'c')), 'a')), 'a'));
  assert.equal(cluster.voters.c?.applied.length, 101);
  assert.equal(cluster.violation, undefined);
});

test('A lost disk comes back, is replaced by its new identity and votes again', () => {
  // The callers see no gap: two voters go on while the third has lost its disk. Its old identity
  // is removed, its new one enters as a learner, catches up and is made a voter; only then does
  // the cluster survive the loss of another voter.
  let cluster = settle(propose(elected(makeCluster({ voters: TRIO })), 'a'));
  cluster = restart(loseDisk(crash(cluster, 'c'), 'c'), 'c');
  const member = { identity: "c1'", address: addressOf('c') };
  const remove = { type: 'removeMember', identity: 'c1' } as const;
  cluster = settle(
    happen(cluster, 'a', { type: 'changeMembership', requestId: 'remove', change: remove }),
  );
  const add = { type: 'addLearner', member } as const;
  cluster = settle(
    happen(cluster, 'a', { type: 'changeMembership', requestId: 'add', change: add }),
  );
  cluster = crash(cluster, 'b');
  cluster = settle(propose({ ...cluster, network: [] }, 'a'));
  assert.deepEqual(cluster.voters.c?.applied, cluster.voters.a?.applied);
  assert.equal(cluster.committed.at(-1), '1:write-1');
  assert.equal(cluster.violation, undefined);
});

test('A leader that hears no quorum steps down and answers no read', () => {
  // A read sent to an isolated leader would see an old state while the others go on. It gets no
  // round from a quorum, and the leader steps down after an election timeout.
  let cluster = elected(makeCluster({ voters: TRIO }));
  cluster = read(cluster, 'a');
  for (let beat = 0; beat < 10; beat += 1) cluster = elapse(cluster, 'a', 150);
  assert.equal(currentLeader(cluster), undefined);
  assert.equal(cluster.answeredReads, 0);
});

/** B acknowledged a write that c lacks; then b's disk is replaced by an older copy of itself. */
function withOlderDisk(oldDiskRefused: boolean): ModelCluster {
  const safeguards = { ...allSafeguards, oldDiskRefused };
  let cluster = elected(makeCluster({ voters: TRIO, settings: { safeguards } }));
  cluster = settle(fireTimer(cluster, 'a'));
  const { b } = cluster.voters;
  assert.ok(b !== undefined);
  const { disk } = b;
  cluster = settle(crash(propose(crash(cluster, 'c'), 'a'), 'c'));
  assert.equal(cluster.acknowledgedIndex, 2);
  cluster = crash(cluster, 'b');
  cluster = { ...cluster, network: [], voters: { ...cluster.voters, b: { ...b, disk } } };
  cluster = restart(restart(crash(cluster, 'b'), 'b'), 'c');
  cluster = fireTimer(cluster, 'a');
  const toB = cluster.network.filter(({ instance }) => instance === 'b');
  return settle({ ...cluster, network: toB });
}

/** C, which lacks the write, stands for election once a has stopped. */
function electWithout(cluster: ModelCluster): ModelCluster {
  let next: ModelCluster = { ...crash(cluster, 'a'), network: [] };
  next = settle(fireTimer(next, 'c'));
  return settle(fireTimer(next, 'c'));
}

test('A disk that is older than its acknowledgements is turned away', () => {
  // A caller's write was acknowledged with copies at a and b; b's instance is then rebuilt from an
  // older copy of its disk. If it voted, c could lead without the write. The leader notices that
  // b's log has become shorter, within the time that b waits before it votes, and refuses it.
  const cluster = withOlderDisk(true);
  assert.equal(cluster.voters.b?.state?.diskRefused, true);
  assert.equal(electWithout(cluster).violation, undefined);
});

test('A vote of an older disk would be noticed', () => {
  // The same without the refusal: b votes, c leads without the write that a caller was promised.
  const cluster = electWithout(withOlderDisk(false));
  assert.match(cluster.violation ?? '', /lacks the committed index 2/);
});

test('A full disk ends the leadership; what was proposed is unsure and nothing is acknowledged', () => {
  // The caller's write is in the log of a leader whose disk takes no more. It can't know whether
  // the write will survive, so it says unsure, and takes no new one.
  let cluster = propose(elected(makeCluster({ voters: TRIO })), 'a');
  cluster = happen(cluster, 'a', { type: 'persistFailed', reason: 'ENOSPC' });
  assert.equal(cluster.voters.a?.state?.readOnly, true);
  assert.equal(cluster.voters.a.state.role.type, 'follower');
  cluster = settle(cluster);
  cluster = settle(fireTimer(cluster, 'b'));
  assert.equal(currentLeader(cluster)?.instance, 'b');
  assert.equal(cluster.acknowledgedIndex, 0);
  assert.equal(cluster.violation, undefined);
});

test('A run of large entries is parted into appends below the bound', () => {
  // Tables of a few megabytes each are changed while a voter is away. One append with all of them
  // would exceed the largest frame and be dropped each time, so the voter would never catch up.
  const settings = { mostBytesPerAppend: 5000 };
  let cluster = crash(elected(makeCluster({ voters: TRIO, settings })), 'c');
  const proposals = Array.from({ length: 6 }, (_, number) => ({
    requestId: `large-${number}`,
    command: new Uint8Array(2000),
  }));
  cluster = settle(happen(cluster, 'a', { type: 'propose', proposals }));
  cluster = fireTimer(restart({ ...cluster, network: [] }, 'c'), 'a');
  const sizes: number[] = [];
  while (cluster.network.length > 0) {
    const [message] = cluster.network;
    assert.ok(message !== undefined);
    const { message: body } = message.envelope;
    if (body.type === 'appendRequest') sizes.push(body.entries.length);
    cluster = deliver(cluster, message);
    cluster = TRIO.reduce((next, instance) => syncDisk(next, instance, 9), cluster);
  }
  assert.equal(Math.max(...sizes), 2);
  assert.equal(cluster.voters.c?.applied.length, 7);
  assert.equal(cluster.violation, undefined);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConsensusSettings } from './ConsensusState.js';
import type { MembershipChange } from './consensusEvents.js';
import { votersOf } from './membership.js';
import {
  crash,
  currentLeader,
  happen,
  loseDisk,
  makeCluster,
  propose,
  restart,
} from './testing/modelCluster.js';
import { passTime } from './testing/passTime.js';
import type { Schedule } from './testing/randomSchedule.js';

const settings: Partial<ConsensusSettings> = {
  electionTimeout: 400,
  heartbeatInterval: 100,
  unreachableMemberTimeout: 3000,
};
const VOTERS = ['a', 'b', 'c', 'd'];
const REPLACEMENTS = ['e', 'f', 'g'];

/** Time for a replacement to join and catch up, or for an unreachable store to be removed. */
const CATCH_UP_MILLISECONDS = 4000;

function startCluster(): Schedule {
  const cluster = makeCluster({ voters: VOTERS, spares: REPLACEMENTS, settings });
  const run: Schedule = { cluster: REPLACEMENTS.reduce(crash, cluster), cutOff: [] };
  passTime(run, 2000);
  return run;
}

function stop(run: Schedule, instance: string): void {
  run.cluster = crash(run.cluster, instance);
}

function start(run: Schedule, instance: string): void {
  run.cluster = restart(run.cluster, instance);
}

function replace(run: Schedule, removed: string, replacement: string): void {
  stop(run, removed);
  start(run, replacement);
  passTime(run, CATCH_UP_MILLISECONDS);
}

function leaderOf(run: Schedule): string {
  const leader = currentLeader(run.cluster);
  assert.ok(leader !== undefined, 'no store is the leader');
  return leader.instance;
}

function listVotersAccordingTo(run: Schedule, instance: string): string[] {
  const state = run.cluster.voters[instance]?.state;
  assert.ok(state !== undefined);
  return votersOf(state).map(({ address }) => address.instance);
}

function changeMembers(run: Schedule, change: MembershipChange): void {
  const event = { type: 'changeMembership', requestId: 'operator', change } as const;
  run.cluster = happen(run.cluster, leaderOf(run), event);
}

function assertAcceptsWrite(run: Schedule): void {
  const indexBefore = run.cluster.acknowledgedIndex;
  run.cluster = propose(run.cluster, leaderOf(run));
  passTime(run, 500);
  assert.ok(run.cluster.acknowledgedIndex > indexBefore, 'a write is not acknowledged');
  assert.equal(run.cluster.violation, undefined);
}

// Guards against a cluster that can elect no leader, because stores that were replaced still count
// for its quorum.
test('a cluster whose stores were replaced one after the other survives a lost disk', () => {
  const run = startCluster();
  replace(run, 'b', 'e');
  replace(run, 'c', 'f');
  assertAcceptsWrite(run);
  const storeWithLostDisk = leaderOf(run);
  stop(run, storeWithLostDisk);
  run.cluster = loseDisk(run.cluster, storeWithLostDisk);
  start(run, storeWithLostDisk);
  passTime(run, CATCH_UP_MILLISECONDS);
  assertAcceptsWrite(run);
  replace(run, 'd', 'g');
  assertAcceptsWrite(run);
  const running = ['a', 'e', 'f', 'g'];
  running.forEach((instance) => stop(run, instance));
  running.forEach((instance) => start(run, instance));
  passTime(run, 2000);
  assertAcceptsWrite(run);
});

// Guards against a removed store that campaigns without end after a partition, because its own log
// still lists it as a voter.
test('a store that was removed while it was partitioned votes again afterwards', () => {
  const run = startCluster();
  const isolated = leaderOf(run);
  run.cutOff = [isolated];
  passTime(run, CATCH_UP_MILLISECONDS + 1500);
  assert.equal(listVotersAccordingTo(run, leaderOf(run)).includes(isolated), false);
  assertAcceptsWrite(run);
  run.cutOff = [];
  passTime(run, 2000);
  assert.deepEqual(listVotersAccordingTo(run, isolated).toSorted(), VOTERS);
  assertAcceptsWrite(run);
});

// Guards against so few voters that acknowledged changes are lost with the next disk.
test('no voter is removed while too few voters are reachable', () => {
  const run = startCluster();
  const [first = '', second = ''] = VOTERS.filter((name) => name !== leaderOf(run));
  stop(run, first);
  passTime(run, CATCH_UP_MILLISECONDS);
  stop(run, second);
  passTime(run, CATCH_UP_MILLISECONDS);
  const voters = listVotersAccordingTo(run, leaderOf(run));
  assert.equal(voters.length, 3);
  assert.ok(voters.includes(second));
  assertAcceptsWrite(run);
});

// Guards against a store that joins again after an operator has removed it for good.
test('a store that an operator has removed for good does not join again', () => {
  const run = startCluster();
  const [removed = ''] = VOTERS.filter((name) => name !== leaderOf(run));
  const identity = run.cluster.voters[removed]?.identity ?? '';
  changeMembers(run, { type: 'takeOutMember', identity });
  passTime(run, CATCH_UP_MILLISECONDS);
  assert.equal(listVotersAccordingTo(run, leaderOf(run)).includes(removed), false);
  assertAcceptsWrite(run);
});

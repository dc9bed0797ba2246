import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConsensusSettings } from './ConsensusState.js';
import type { MembershipChange } from './consensusEvents.js';
import { votersOf } from './membership.js';
import {
  crash,
  findLeader,
  dispatchEvent,
  loseDisk,
  makeCluster,
  propose,
  restart,
} from './testing/modelCluster.js';
import { runForDuration } from './testing/runForDuration.js';
import type { ClusterSimulation } from './testing/runSchedule.js';

const settings: Partial<ConsensusSettings> = {
  electionTimeout: 400,
  heartbeatInterval: 100,
  unreachableMemberTimeout: 3000,
};
const VOTERS = ['a', 'b', 'c', 'd'];
const REPLACEMENTS = ['e', 'f', 'g'];

/** Time for a replacement to join and catch up, or for an unreachable store to be removed. */
const CATCH_UP_MILLISECONDS = 4000;

function startCluster(): ClusterSimulation {
  const cluster = makeCluster({ voters: VOTERS, nonMembers: REPLACEMENTS, settings });
  const schedule: ClusterSimulation = {
    cluster: REPLACEMENTS.reduce(crash, cluster),
    isolatedInstances: [],
  };
  runForDuration(schedule, 2000);
  return schedule;
}

function stop(schedule: ClusterSimulation, instance: string): void {
  schedule.cluster = crash(schedule.cluster, instance);
}

function start(schedule: ClusterSimulation, instance: string): void {
  schedule.cluster = restart(schedule.cluster, instance);
}

function replace(schedule: ClusterSimulation, removed: string, replacement: string): void {
  stop(schedule, removed);
  start(schedule, replacement);
  runForDuration(schedule, CATCH_UP_MILLISECONDS);
}

function leaderOf(schedule: ClusterSimulation): string {
  const leader = findLeader(schedule.cluster);
  assert.ok(leader !== undefined, 'no store is the leader');
  return leader.instance;
}

function listVotersAccordingTo(schedule: ClusterSimulation, instance: string): string[] {
  const state = schedule.cluster.voters[instance]?.state;
  assert.ok(state !== undefined);
  return votersOf(state).map(({ address }) => address.instance);
}

function changeMembers(schedule: ClusterSimulation, change: MembershipChange): void {
  const event = { type: 'changeMembership', requestId: 'operator', change } as const;
  schedule.cluster = dispatchEvent(schedule.cluster, leaderOf(schedule), event);
}

function assertAcceptsWrite(schedule: ClusterSimulation): void {
  const indexBefore = schedule.cluster.acknowledgedIndex;
  schedule.cluster = propose(schedule.cluster, leaderOf(schedule));
  runForDuration(schedule, 500);
  assert.ok(schedule.cluster.acknowledgedIndex > indexBefore, 'a write is not acknowledged');
  assert.equal(schedule.cluster.violation, undefined);
}

// Guards against a cluster without a leader, because removed stores still count for its quorum.
test('a cluster whose stores were replaced one after the other survives a lost disk', () => {
  const schedule = startCluster();
  replace(schedule, 'b', 'e');
  replace(schedule, 'c', 'f');
  assertAcceptsWrite(schedule);
  const storeWithLostDisk = leaderOf(schedule);
  stop(schedule, storeWithLostDisk);
  schedule.cluster = loseDisk(schedule.cluster, storeWithLostDisk);
  start(schedule, storeWithLostDisk);
  runForDuration(schedule, CATCH_UP_MILLISECONDS);
  assertAcceptsWrite(schedule);
  replace(schedule, 'd', 'g');
  assertAcceptsWrite(schedule);
  const running = ['a', 'e', 'f', 'g'];
  running.forEach((instance) => stop(schedule, instance));
  running.forEach((instance) => start(schedule, instance));
  runForDuration(schedule, 2000);
  assertAcceptsWrite(schedule);
});

// Guards against a store that campaigns without end after a long partition, because its own log
// still lists it as a voter.
test('a store that was removed while it was partitioned votes again afterwards', () => {
  const schedule = startCluster();
  const isolated = leaderOf(schedule);
  schedule.isolatedInstances = [isolated];
  runForDuration(schedule, CATCH_UP_MILLISECONDS + 1500);
  assert.equal(listVotersAccordingTo(schedule, leaderOf(schedule)).includes(isolated), false);
  assertAcceptsWrite(schedule);
  schedule.isolatedInstances = [];
  runForDuration(schedule, 2000);
  assert.deepEqual(listVotersAccordingTo(schedule, isolated).toSorted(), VOTERS);
  assertAcceptsWrite(schedule);
});

// Guards against so few voters that acknowledged changes are lost with the next disk.
test('no voter is removed while too few voters are reachable', () => {
  const schedule = startCluster();
  const [first = '', second = ''] = VOTERS.filter((name) => name !== leaderOf(schedule));
  stop(schedule, first);
  runForDuration(schedule, CATCH_UP_MILLISECONDS);
  stop(schedule, second);
  runForDuration(schedule, CATCH_UP_MILLISECONDS);
  const voters = listVotersAccordingTo(schedule, leaderOf(schedule));
  assert.equal(voters.length, 3);
  assert.ok(voters.includes(second));
  assertAcceptsWrite(schedule);
});

// Guards against a store that joins again after an operator has removed it for good.
test('a store that an operator has removed for good does not join again', () => {
  const schedule = startCluster();
  const [removed = ''] = VOTERS.filter((name) => name !== leaderOf(schedule));
  const identity = schedule.cluster.voters[removed]?.identity ?? '';
  changeMembers(schedule, { type: 'takeOutMember', identity });
  runForDuration(schedule, CATCH_UP_MILLISECONDS);
  assert.equal(listVotersAccordingTo(schedule, leaderOf(schedule)).includes(removed), false);
  assertAcceptsWrite(schedule);
});

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
  const run: ClusterSimulation = {
    cluster: REPLACEMENTS.reduce(crash, cluster),
    isolatedInstances: [],
  };
  runForDuration(run, 2000);
  return run;
}

function stop(run: ClusterSimulation, instance: string): void {
  run.cluster = crash(run.cluster, instance);
}

function start(run: ClusterSimulation, instance: string): void {
  run.cluster = restart(run.cluster, instance);
}

function replace(run: ClusterSimulation, removed: string, replacement: string): void {
  stop(run, removed);
  start(run, replacement);
  runForDuration(run, CATCH_UP_MILLISECONDS);
}

function leaderOf(run: ClusterSimulation): string {
  const leader = findLeader(run.cluster);
  assert.ok(leader !== undefined, 'no store is the leader');
  return leader.instance;
}

function listVotersAccordingTo(run: ClusterSimulation, instance: string): string[] {
  const state = run.cluster.voters[instance]?.state;
  assert.ok(state !== undefined);
  return votersOf(state).map(({ address }) => address.instance);
}

function changeMembers(run: ClusterSimulation, change: MembershipChange): void {
  const event = { type: 'changeMembership', requestId: 'operator', change } as const;
  run.cluster = dispatchEvent(run.cluster, leaderOf(run), event);
}

function assertAcceptsWrite(run: ClusterSimulation): void {
  const indexBefore = run.cluster.acknowledgedIndex;
  run.cluster = propose(run.cluster, leaderOf(run));
  runForDuration(run, 500);
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
  runForDuration(run, CATCH_UP_MILLISECONDS);
  assertAcceptsWrite(run);
  replace(run, 'd', 'g');
  assertAcceptsWrite(run);
  const running = ['a', 'e', 'f', 'g'];
  running.forEach((instance) => stop(run, instance));
  running.forEach((instance) => start(run, instance));
  runForDuration(run, 2000);
  assertAcceptsWrite(run);
});

// Guards against a removed store that campaigns without end after a partition, because its own log
// still lists it as a voter.
test('a store that was removed while it was partitioned votes again afterwards', () => {
  const run = startCluster();
  const isolated = leaderOf(run);
  run.isolatedInstances = [isolated];
  runForDuration(run, CATCH_UP_MILLISECONDS + 1500);
  assert.equal(listVotersAccordingTo(run, leaderOf(run)).includes(isolated), false);
  assertAcceptsWrite(run);
  run.isolatedInstances = [];
  runForDuration(run, 2000);
  assert.deepEqual(listVotersAccordingTo(run, isolated).toSorted(), VOTERS);
  assertAcceptsWrite(run);
});

// Guards against so few voters that acknowledged changes are lost with the next disk.
test('no voter is removed while too few voters are reachable', () => {
  const run = startCluster();
  const [first = '', second = ''] = VOTERS.filter((name) => name !== leaderOf(run));
  stop(run, first);
  runForDuration(run, CATCH_UP_MILLISECONDS);
  stop(run, second);
  runForDuration(run, CATCH_UP_MILLISECONDS);
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
  runForDuration(run, CATCH_UP_MILLISECONDS);
  assert.equal(listVotersAccordingTo(run, leaderOf(run)).includes(removed), false);
  assertAcceptsWrite(run);
});

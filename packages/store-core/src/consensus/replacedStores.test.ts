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

/** Between two exchanges of stores a successor has this long to take its place. */
const CATCH_UP_MILLISECONDS = 4000;

function startCluster(): Schedule {
  const cluster = makeCluster({ voters: VOTERS, spares: REPLACEMENTS, settings });
  const schedule: Schedule = { cluster: REPLACEMENTS.reduce(crash, cluster), cutOff: [] };
  passTime(schedule, 2000);
  return schedule;
}

function stop(schedule: Schedule, instance: string): void {
  schedule.cluster = crash(schedule.cluster, instance);
}

function start(schedule: Schedule, instance: string): void {
  schedule.cluster = restart(schedule.cluster, instance);
}

function replace(schedule: Schedule, removed: string, replacement: string): void {
  stop(schedule, removed);
  start(schedule, replacement);
  passTime(schedule, CATCH_UP_MILLISECONDS);
}

function leaderOf(schedule: Schedule): string {
  const leader = currentLeader(schedule.cluster);
  assert.ok(leader !== undefined, 'no store leads');
  return leader.instance;
}

function listVotersAccordingTo(schedule: Schedule, instance: string): string[] {
  const state = schedule.cluster.voters[instance]?.state;
  assert.ok(state !== undefined);
  return votersOf(state).map(({ address }) => address.instance);
}

function changeMembers(schedule: Schedule, change: MembershipChange): void {
  const event = { type: 'changeMembership', requestId: 'operator', change } as const;
  schedule.cluster = happen(schedule.cluster, leaderOf(schedule), event);
}

function assertAcceptsWrite(schedule: Schedule): void {
  const indexBefore = schedule.cluster.acknowledgedIndex;
  schedule.cluster = propose(schedule.cluster, leaderOf(schedule));
  passTime(schedule, 500);
  assert.ok(schedule.cluster.acknowledgedIndex > indexBefore, 'a write is not acknowledged');
  assert.equal(schedule.cluster.violation, undefined);
}

// Guards against no leader, and so no configuration, once stores that are gone for good outvote the rest.
test('stores that are replaced one after the other leave a cluster that bears a lost disk', () => {
  const schedule = startCluster();
  replace(schedule, 'b', 'e');
  replace(schedule, 'c', 'f');
  assertAcceptsWrite(schedule);
  const storeWithLostDisk = leaderOf(schedule);
  stop(schedule, storeWithLostDisk);
  schedule.cluster = loseDisk(schedule.cluster, storeWithLostDisk);
  start(schedule, storeWithLostDisk);
  passTime(schedule, CATCH_UP_MILLISECONDS);
  assertAcceptsWrite(schedule);
  replace(schedule, 'd', 'g');
  assertAcceptsWrite(schedule);
  const running = ['a', 'e', 'f', 'g'];
  running.forEach((instance) => stop(schedule, instance));
  running.forEach((instance) => start(schedule, instance));
  passTime(schedule, 2000);
  assertAcceptsWrite(schedule);
});

// Guards against a store that stands for election for ever after a long cut, as its log still has it vote.
test('a store that was cut off until it was taken out votes again once it is back', () => {
  const schedule = startCluster();
  const isolated = leaderOf(schedule);
  schedule.cutOff = [isolated];
  passTime(schedule, CATCH_UP_MILLISECONDS + 1500);
  assert.equal(listVotersAccordingTo(schedule, leaderOf(schedule)).includes(isolated), false);
  assertAcceptsWrite(schedule);
  schedule.cutOff = [];
  passTime(schedule, 2000);
  assert.deepEqual(listVotersAccordingTo(schedule, isolated).toSorted(), VOTERS);
  assertAcceptsWrite(schedule);
});

// Guards against so few voters that the next lost disk takes acknowledged changes with it.
test('no voter is taken out while too few others are heard of', () => {
  const schedule = startCluster();
  const [first = '', second = ''] = VOTERS.filter((name) => name !== leaderOf(schedule));
  stop(schedule, first);
  passTime(schedule, CATCH_UP_MILLISECONDS);
  stop(schedule, second);
  passTime(schedule, CATCH_UP_MILLISECONDS);
  const voters = listVotersAccordingTo(schedule, leaderOf(schedule));
  assert.equal(voters.length, 3);
  assert.ok(voters.includes(second));
  assertAcceptsWrite(schedule);
});

// Guards against a store that comes back by itself after an operator has taken it out.
test('a store that an operator has taken out is not let in again', () => {
  const schedule = startCluster();
  const [removed = ''] = VOTERS.filter((name) => name !== leaderOf(schedule));
  const identity = schedule.cluster.voters[removed]?.identity ?? '';
  changeMembers(schedule, { type: 'takeOutMember', identity });
  passTime(schedule, CATCH_UP_MILLISECONDS);
  assert.equal(listVotersAccordingTo(schedule, leaderOf(schedule)).includes(removed), false);
  assertAcceptsWrite(schedule);
});

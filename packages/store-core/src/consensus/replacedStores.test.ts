import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConsensusSettings } from './ConsensusState.js';
import {
  crash,
  currentLeader,
  loseDisk,
  makeCluster,
  propose,
  restart,
} from './testing/modelCluster.js';
import { passTime } from './testing/passTime.js';
import type { Schedule } from './testing/randomSchedule.js';

const settings: Partial<ConsensusSettings> = { electionTimeout: 400, heartbeatInterval: 100 };
const VOTERS = ['a', 'b', 'c', 'd'];
const SUCCESSORS = ['e', 'f', 'g'];

/** Between two exchanges of stores a successor has this long to take its place. */
const CATCH_UP_MILLISECONDS = 4000;

function startCluster(): Schedule {
  const cluster = makeCluster({ voters: VOTERS, spares: SUCCESSORS, settings });
  const schedule: Schedule = { cluster: SUCCESSORS.reduce(crash, cluster), cutOff: [] };
  passTime(schedule, 2000);
  return schedule;
}

function stop(schedule: Schedule, instance: string): void {
  schedule.cluster = crash(schedule.cluster, instance);
}

function start(schedule: Schedule, instance: string): void {
  schedule.cluster = restart(schedule.cluster, instance);
}

function replace(schedule: Schedule, gone: string, successor: string): void {
  stop(schedule, gone);
  start(schedule, successor);
  passTime(schedule, CATCH_UP_MILLISECONDS);
}

function leaderOf(schedule: Schedule): string {
  const leader = currentLeader(schedule.cluster);
  assert.ok(leader !== undefined, 'no store leads');
  return leader.instance;
}

function assertTakesWrite(schedule: Schedule): void {
  const before = schedule.cluster.acknowledgedIndex;
  schedule.cluster = propose(schedule.cluster, leaderOf(schedule));
  passTime(schedule, 500);
  assert.ok(schedule.cluster.acknowledgedIndex > before, 'a write is not acknowledged');
  assert.equal(schedule.cluster.violation, undefined);
}

// Guards against no leader, and so no configuration, once stores that are gone for good outvote the rest.
test('stores that are replaced one after the other leave a cluster that bears a lost disk', () => {
  const schedule = startCluster();
  replace(schedule, 'b', 'e');
  replace(schedule, 'c', 'f');
  assertTakesWrite(schedule);
  const wiped = leaderOf(schedule);
  stop(schedule, wiped);
  schedule.cluster = loseDisk(schedule.cluster, wiped);
  start(schedule, wiped);
  passTime(schedule, CATCH_UP_MILLISECONDS);
  assertTakesWrite(schedule);
  replace(schedule, 'd', 'g');
  assertTakesWrite(schedule);
  const running = ['a', 'e', 'f', 'g'];
  running.forEach((instance) => stop(schedule, instance));
  running.forEach((instance) => start(schedule, instance));
  passTime(schedule, 2000);
  assertTakesWrite(schedule);
});

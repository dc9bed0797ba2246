/**
 * A random schedule of everything that can happen to a cluster: each number of a list picks the
 * next thing and its subject. Timers run on virtual clocks, and an operator takes out lost disks
 * and lets new ones in. At the end all faults are healed and the cluster must go on.
 */
import { memberOf, votersOf } from '../membership.js';
import {
  makeAddress,
  crash,
  findLeader,
  deliver,
  advanceClock,
  dispatchEvent,
  loseDisk,
  propose,
  read,
  restart,
  runUntilIdle,
  syncDisk,
  type ModelCluster,
  type ModelMessage,
  type ModelVoter,
} from './modelCluster.js';

export interface ClusterSimulation {
  cluster: ModelCluster;
  /** Instances that are cut off from all others. */
  isolatedInstances: string[];
}

type Action = (schedule: ClusterSimulation, pick: number) => void;

const MOST_MESSAGES = 300;

function voterAt({ cluster }: ClusterSimulation, pick: number): ModelVoter {
  const voters = Object.values(cluster.voters);
  return voters[pick % voters.length] as ModelVoter;
}

export function isBlockedByPartition(
  { isolatedInstances: cutOff }: ClusterSimulation,
  { instance, envelope }: ModelMessage,
): boolean {
  return cutOff.includes(instance) !== cutOff.includes(envelope.from.instance);
}

function dropMessage(schedule: ClusterSimulation, message: ModelMessage): void {
  const network = schedule.cluster.network.filter((other) => other !== message);
  schedule.cluster = { ...schedule.cluster, network };
}

function deliverOne(schedule: ClusterSimulation, pick: number, keep: boolean): void {
  const { network, voters } = schedule.cluster;
  const message = network[pick % Math.max(1, network.length)];
  if (message === undefined) return;
  const stopped = voters[message.instance]?.state === undefined;
  if (stopped || isBlockedByPartition(schedule, message) || network.length > MOST_MESSAGES) {
    dropMessage(schedule, message);
  } else {
    schedule.cluster = deliver(schedule.cluster, message, keep, true);
  }
}

export function syncAllDisks(schedule: ClusterSimulation): void {
  Object.values(schedule.cluster.voters)
    .filter(({ pendingWrites: jobs }) => jobs.length > 0)
    .forEach(({ instance, pendingWrites: jobs }) => {
      schedule.cluster = syncDisk(schedule.cluster, instance, jobs.length);
    });
}

export function advanceAllClocks(schedule: ClusterSimulation, span: number): void {
  Object.keys(schedule.cluster.voters).forEach((instance) => {
    schedule.cluster = advanceClock(schedule.cluster, instance, span);
  });
}

/** A while without a new fault: messages arrive in some order and disks are synced. */
function calm(schedule: ClusterSimulation, pick: number): void {
  for (let turn = 0; turn < 12; turn += 1) {
    deliverOne(schedule, Math.floor(pick / (turn + 1)), false);
    if (turn % 4 === 3) syncAllDisks(schedule);
  }
  advanceAllClocks(schedule, 30 + (pick % 120));
}

/** Lets a new disk in, or takes the member of a lost one out. */
export function repairMembership(schedule: ClusterSimulation): void {
  const leader = findLeader(schedule.cluster);
  if (leader?.state === undefined) return;
  const { state } = leader;
  const stranger = Object.values(schedule.cluster.voters).find(
    (voter) => voter.state !== undefined && memberOf(state, voter.identity) === undefined,
  );
  if (stranger === undefined) return;
  const { members } = state.memberships.at(-1)?.membership ?? { members: [] };
  const old = members.find((member) => member.address.instance === stranger.instance);
  const change =
    old === undefined
      ? ({
          type: 'addLearner',
          member: { identity: stranger.identity, address: makeAddress(stranger.instance) },
        } as const)
      : ({ type: 'removeMember', identity: old.identity } as const);
  const event = { type: 'changeMembership', requestId: 'operator', change } as const;
  schedule.cluster = dispatchEvent(schedule.cluster, leader.instance, event);
}

function removeSomeone(schedule: ClusterSimulation, pick: number): void {
  const leader = findLeader(schedule.cluster);
  if (leader?.state === undefined) return;
  const voters = votersOf(leader.state);
  const victim = voters[pick % voters.length];
  if (victim === undefined || voters.length <= 3) return;
  const change = { type: 'removeMember', identity: victim.identity } as const;
  const event = { type: 'changeMembership', requestId: 'operator', change } as const;
  schedule.cluster = dispatchEvent(schedule.cluster, leader.instance, event);
}

function startOrStop(schedule: ClusterSimulation, pick: number, diskGoes: boolean): void {
  const { instance, state } = voterAt(schedule, pick);
  if (state !== undefined) schedule.cluster = crash(schedule.cluster, instance);
  else {
    if (diskGoes) schedule.cluster = loseDisk(schedule.cluster, instance);
    schedule.cluster = restart(schedule.cluster, instance);
  }
}

function restartOne(schedule: ClusterSimulation): void {
  const stopped = Object.values(schedule.cluster.voters).find(({ state }) => state === undefined);
  if (stopped !== undefined) schedule.cluster = restart(schedule.cluster, stopped.instance);
}

function proposeSomewhere(schedule: ClusterSimulation, pick: number): void {
  const leaders = Object.values(schedule.cluster.voters).filter(
    ({ state }) => state?.role.type === 'leader',
  );
  const leader = leaders[pick % Math.max(1, leaders.length)];
  if (leader !== undefined) schedule.cluster = propose(schedule.cluster, leader.instance);
}

const actions: readonly { readonly weight: number; readonly act: Action }[] = [
  { weight: 30, act: calm },
  { weight: 14, act: (schedule, pick) => deliverOne(schedule, pick, false) },
  { weight: 4, act: (schedule, pick) => deliverOne(schedule, pick, true) },
  {
    weight: 3,
    act: (schedule, pick) => {
      const { network } = schedule.cluster;
      const message = network[pick % Math.max(1, network.length)];
      if (message !== undefined) dropMessage(schedule, message);
    },
  },
  {
    weight: 8,
    act: (schedule, pick) => {
      schedule.cluster = syncDisk(schedule.cluster, voterAt(schedule, pick).instance, 1);
    },
  },
  {
    weight: 8,
    act: (schedule, pick) => {
      const { instance } = voterAt(schedule, pick);
      schedule.cluster = advanceClock(schedule.cluster, instance, 200 + (pick % 1500));
    },
  },
  { weight: 14, act: proposeSomewhere },
  {
    weight: 6,
    act: (schedule, pick) => {
      schedule.cluster = read(schedule.cluster, voterAt(schedule, pick).instance);
    },
  },
  { weight: 3, act: (schedule, pick) => startOrStop(schedule, pick, false) },
  { weight: 1, act: (schedule, pick) => startOrStop(schedule, pick, true) },
  { weight: 3, act: restartOne },
  {
    weight: 2,
    act: (schedule, pick) => {
      schedule.isolatedInstances = [voterAt(schedule, pick).instance];
    },
  },
  {
    weight: 2,
    act: (schedule) => {
      schedule.isolatedInstances = [];
    },
  },
  { weight: 3, act: repairMembership },
  { weight: 1, act: removeSomeone },
];

const drawn = actions.flatMap(({ weight, act }) => Array<Action>(weight).fill(act));

/** Runs a schedule until its end or the first violation. */
export function runSchedule(start: ModelCluster, picks: readonly number[]): ClusterSimulation {
  const schedule: ClusterSimulation = { cluster: start, isolatedInstances: [] };
  for (const pick of picks) {
    const act = drawn[pick % drawn.length] as Action;
    act(schedule, Math.floor(pick / drawn.length));
    if (schedule.cluster.violation !== undefined) break;
  }
  return schedule;
}

/** Heals everything and lets time pass, so that a cluster with a quorum of disks must go on. */
export function recoverFromFaults(schedule: ClusterSimulation): void {
  schedule.isolatedInstances = [];
  Object.values(schedule.cluster.voters).forEach(({ instance, state }) => {
    if (state === undefined) schedule.cluster = restart(schedule.cluster, instance);
  });
  for (let round = 0; round < 80; round += 1) {
    schedule.cluster = runUntilIdle(schedule.cluster);
    advanceAllClocks(schedule, 150);
    if (round % 4 === 3) repairMembership(schedule);
  }
  proposeSomewhere(schedule, 0);
  for (let round = 0; round < 8; round += 1) {
    schedule.cluster = runUntilIdle(schedule.cluster);
    advanceAllClocks(schedule, 150);
  }
}

/** True if a quorum of the newest membership that anybody holds still has its disks. */
export function hasQuorumOfDisks({ cluster }: ClusterSimulation): boolean {
  const alive = Object.values(cluster.voters).map(({ identity }) => identity);
  return Object.values(cluster.voters).every(({ state }) => {
    if (state === undefined || votersOf(state).length === 0) return true;
    const voters = votersOf(state);
    const left = voters.filter(({ identity }) => alive.includes(identity));
    return left.length * 2 > voters.length;
  });
}

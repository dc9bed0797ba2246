/**
 * Runs random schedules on a model cluster: each number of a list selects the next action and its
 * target. Actions inject faults, send requests, advance virtual clocks and change the membership as
 * an operator does. After a schedule, `recoverFromFaults` ends all faults, so that a test can check
 * that the cluster commits again.
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
  type ModelStore,
} from './modelCluster.js';

/** A cluster and its partition; actions assign new values to both. */
export interface ClusterSimulation {
  cluster: ModelCluster;
  /** Instances that are partitioned from the rest of the cluster. */
  isolatedInstances: string[];
}

type Action = (simulation: ClusterSimulation, pick: number) => void;

/** Number of pending messages above which a selected message is dropped instead of delivered. */
const MAX_MESSAGES = 300;

function chooseStore({ cluster }: ClusterSimulation, pick: number): ModelStore {
  const stores = Object.values(cluster.voters);
  return stores[pick % stores.length] as ModelStore;
}

export function isBlockedByPartition(
  { isolatedInstances }: ClusterSimulation,
  { instance, envelope }: ModelMessage,
): boolean {
  return (
    isolatedInstances.includes(instance) !== isolatedInstances.includes(envelope.from.instance)
  );
}

function dropMessage(simulation: ClusterSimulation, message: ModelMessage): void {
  const network = simulation.cluster.network.filter((other) => other !== message);
  simulation.cluster = { ...simulation.cluster, network };
}

function deliverMessage(simulation: ClusterSimulation, pick: number, keepCopy: boolean): void {
  const { network, voters: stores } = simulation.cluster;
  const message = network[pick % Math.max(1, network.length)];
  if (message === undefined) return;
  const stopped = stores[message.instance]?.state === undefined;
  if (stopped || isBlockedByPartition(simulation, message) || network.length > MAX_MESSAGES) {
    dropMessage(simulation, message);
  } else {
    simulation.cluster = deliver(simulation.cluster, message, keepCopy, true);
  }
}

export function syncAllDisks(simulation: ClusterSimulation): void {
  Object.values(simulation.cluster.voters)
    .filter(({ pendingWrites }) => pendingWrites.length > 0)
    .forEach(({ instance, pendingWrites }) => {
      simulation.cluster = syncDisk(simulation.cluster, instance, pendingWrites.length);
    });
}

export function advanceAllClocks(simulation: ClusterSimulation, milliseconds: number): void {
  Object.keys(simulation.cluster.voters).forEach((instance) => {
    simulation.cluster = advanceClock(simulation.cluster, instance, milliseconds);
  });
}

/** Delivers some messages, syncs disks and advances all clocks, without a new fault. */
function runWithoutFaults(simulation: ClusterSimulation, pick: number): void {
  for (let step = 0; step < 12; step += 1) {
    deliverMessage(simulation, Math.floor(pick / (step + 1)), false);
    if (step % 4 === 3) syncAllDisks(simulation);
  }
  advanceAllClocks(simulation, 30 + (pick % 120));
}

/**
 * Has the leader add a running store that is not a member, or first remove the old member of the
 * same instance if its disk was replaced.
 */
export function repairMembership(simulation: ClusterSimulation): void {
  const leader = findLeader(simulation.cluster);
  if (leader?.state === undefined) return;
  const { state } = leader;
  const nonMember = Object.values(simulation.cluster.voters).find(
    (store) => store.state !== undefined && memberOf(state, store.identity) === undefined,
  );
  if (nonMember === undefined) return;
  const { members } = state.memberships.at(-1)?.membership ?? { members: [] };
  const staleMember = members.find((member) => member.address.instance === nonMember.instance);
  const change =
    staleMember === undefined
      ? ({
          type: 'addLearner',
          member: { identity: nonMember.identity, address: makeAddress(nonMember.instance) },
        } as const)
      : ({ type: 'removeMember', identity: staleMember.identity } as const);
  const event = { type: 'changeMembership', requestId: 'operator', change } as const;
  simulation.cluster = dispatchEvent(simulation.cluster, leader.instance, event);
}

/** Has the leader remove a voter, if it has more than three. */
function removeVoter(simulation: ClusterSimulation, pick: number): void {
  const leader = findLeader(simulation.cluster);
  if (leader?.state === undefined) return;
  const voters = votersOf(leader.state);
  const voter = voters[pick % voters.length];
  if (voter === undefined || voters.length <= 3) return;
  const change = { type: 'removeMember', identity: voter.identity } as const;
  const event = { type: 'changeMembership', requestId: 'operator', change } as const;
  simulation.cluster = dispatchEvent(simulation.cluster, leader.instance, event);
}

/** Crashes a running store; restarts a stopped one, with an empty disk if `losesDisk` is set. */
function crashOrRestart(simulation: ClusterSimulation, pick: number, losesDisk: boolean): void {
  const { instance, state } = chooseStore(simulation, pick);
  if (state !== undefined) simulation.cluster = crash(simulation.cluster, instance);
  else {
    if (losesDisk) simulation.cluster = loseDisk(simulation.cluster, instance);
    simulation.cluster = restart(simulation.cluster, instance);
  }
}

function restartStoppedStore(simulation: ClusterSimulation): void {
  const stopped = Object.values(simulation.cluster.voters).find(({ state }) => state === undefined);
  if (stopped !== undefined) simulation.cluster = restart(simulation.cluster, stopped.instance);
}

function proposeAtLeader(simulation: ClusterSimulation, pick: number): void {
  const leaders = Object.values(simulation.cluster.voters).filter(
    ({ state }) => state?.role.type === 'leader',
  );
  const leader = leaders[pick % Math.max(1, leaders.length)];
  if (leader !== undefined) simulation.cluster = propose(simulation.cluster, leader.instance);
}

const actions: readonly { readonly weight: number; readonly act: Action }[] = [
  { weight: 30, act: runWithoutFaults },
  { weight: 14, act: (simulation, pick) => deliverMessage(simulation, pick, false) },
  { weight: 4, act: (simulation, pick) => deliverMessage(simulation, pick, true) },
  {
    weight: 3,
    act: (simulation, pick) => {
      const { network } = simulation.cluster;
      const message = network[pick % Math.max(1, network.length)];
      if (message !== undefined) dropMessage(simulation, message);
    },
  },
  {
    weight: 8,
    act: (simulation, pick) => {
      simulation.cluster = syncDisk(simulation.cluster, chooseStore(simulation, pick).instance, 1);
    },
  },
  {
    weight: 8,
    act: (simulation, pick) => {
      const { instance } = chooseStore(simulation, pick);
      simulation.cluster = advanceClock(simulation.cluster, instance, 200 + (pick % 1500));
    },
  },
  { weight: 14, act: proposeAtLeader },
  {
    weight: 6,
    act: (simulation, pick) => {
      simulation.cluster = read(simulation.cluster, chooseStore(simulation, pick).instance);
    },
  },
  { weight: 3, act: (simulation, pick) => crashOrRestart(simulation, pick, false) },
  { weight: 1, act: (simulation, pick) => crashOrRestart(simulation, pick, true) },
  { weight: 3, act: restartStoppedStore },
  {
    weight: 2,
    act: (simulation, pick) => {
      simulation.isolatedInstances = [chooseStore(simulation, pick).instance];
    },
  },
  {
    weight: 2,
    act: (simulation) => {
      simulation.isolatedInstances = [];
    },
  },
  { weight: 3, act: repairMembership },
  { weight: 1, act: removeVoter },
];

const weightedActions = actions.flatMap(({ weight, act }) => Array<Action>(weight).fill(act));

/** Runs the actions that `picks` select, until the end or the first violation. */
export function runSchedule(start: ModelCluster, picks: readonly number[]): ClusterSimulation {
  const simulation: ClusterSimulation = { cluster: start, isolatedInstances: [] };
  for (const pick of picks) {
    const act = weightedActions[pick % weightedActions.length] as Action;
    act(simulation, Math.floor(pick / weightedActions.length));
    if (simulation.cluster.violation !== undefined) break;
  }
  return simulation;
}

/**
 * Ends all faults and lets time pass. A cluster that still has a quorum of its disks must then
 * commit the write that is proposed near the end.
 */
export function recoverFromFaults(simulation: ClusterSimulation): void {
  simulation.isolatedInstances = [];
  Object.values(simulation.cluster.voters).forEach(({ instance, state }) => {
    if (state === undefined) simulation.cluster = restart(simulation.cluster, instance);
  });
  for (let iteration = 0; iteration < 80; iteration += 1) {
    simulation.cluster = runUntilIdle(simulation.cluster);
    advanceAllClocks(simulation, 150);
    if (iteration % 4 === 3) repairMembership(simulation);
  }
  proposeAtLeader(simulation, 0);
  for (let iteration = 0; iteration < 8; iteration += 1) {
    simulation.cluster = runUntilIdle(simulation.cluster);
    advanceAllClocks(simulation, 150);
  }
}

/** True if a quorum of the voters in every running store's latest membership still has its disk. */
export function hasQuorumOfDisks({ cluster }: ClusterSimulation): boolean {
  const currentIdentities = Object.values(cluster.voters).map(({ identity }) => identity);
  return Object.values(cluster.voters).every(({ state }) => {
    if (state === undefined || votersOf(state).length === 0) return true;
    const voters = votersOf(state);
    const votersWithDisk = voters.filter(({ identity }) => currentIdentities.includes(identity));
    return votersWithDisk.length * 2 > voters.length;
  });
}

/**
 * Scenarios for the state explorer, and the helpers that prepare them. A scenario prepares a
 * cluster by hand, and then every sequence of steps within its budget is explored. It lists the
 * injected faults that the exploration must detect.
 */
import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { exploreStates, type Exploration } from '@hornbeampond/testing';
import { allSafeguards, type ConsensusSettings, type Safeguards } from '../ConsensusState.js';
import { makeClusterModel, type BoundedCluster, type Budget } from './makeClusterModel.js';
import {
  findLeader,
  deliver,
  fireTimer,
  makeCluster,
  syncDisk,
  type ModelCluster,
  type ModelMessage,
  type ShellMutation,
} from './modelCluster.js';

/**
 * A safeguard that is turned off, or a fault in the code that carries out the reducer's effects.
 */
export interface InjectedFault {
  readonly disabledSafeguard?: keyof Safeguards;
  readonly mutation?: ShellMutation;
}

export interface Scenario {
  readonly name: string;
  prepare(fault: InjectedFault): ModelCluster;
  readonly budget: Partial<Budget>;
  readonly maxSteps: number;
  /** Faults of which each, injected alone, must lead to a violation. */
  readonly faultsToDetect: readonly InjectedFault[];
}

export const THREE_VOTERS = ['a', 'b', 'c'];

export function makeThreeVoters(
  fault: InjectedFault,
  settings: Partial<ConsensusSettings> = {},
): ModelCluster {
  const safeguards =
    fault.disabledSafeguard === undefined
      ? allSafeguards
      : { ...allSafeguards, [fault.disabledSafeguard]: false };
  return makeCluster({
    voters: THREE_VOTERS,
    settings: { announceCommits: false, safeguards, ...settings },
    mutation: fault.mutation,
  });
}

/**
 * Delivers messages and syncs disks until nothing is pending. Messages from and to the isolated
 * instances are dropped, and their disks are not synced.
 */
export function runUntilIdleWithout(
  start: ModelCluster,
  isolatedInstances: readonly string[],
): ModelCluster {
  let cluster = start;
  for (;;) {
    const remainingMessages = cluster.network.filter(
      ({ instance, envelope }) =>
        !isolatedInstances.includes(instance) &&
        !isolatedInstances.includes(envelope.from.instance),
    );
    cluster = { ...cluster, network: remainingMessages };
    const storeWithWrites = Object.values(cluster.voters).find(
      ({ instance, pendingWrites, state }) =>
        state !== undefined && pendingWrites.length > 0 && !isolatedInstances.includes(instance),
    );
    const [message] = remainingMessages;
    if (storeWithWrites !== undefined) cluster = syncDisk(cluster, storeWithWrites.instance, 1);
    else if (message !== undefined) cluster = deliver(cluster, message);
    else return cluster;
  }
}

/** Fires the timer of one instance and asserts that it becomes leader. */
export function electLeader(
  cluster: ModelCluster,
  instance: string,
  isolatedInstances: readonly string[] = [],
) {
  const next = runUntilIdleWithout(fireTimer(cluster, instance), isolatedInstances);
  assert.equal(findLeader(next)?.instance, instance);
  return next;
}

/** Delivers the selected ones of the messages that are pending at the start. */
export function deliverMatching(
  start: ModelCluster,
  isSelected: (message: ModelMessage) => boolean,
): ModelCluster {
  return start.network
    .filter(isSelected)
    .reduce((cluster, message) => deliver(cluster, message), start);
}

/**
 * Syncs the disks of these instances and delivers messages to them, until `isDone` or until nothing
 * is left to sync or deliver.
 */
export function runInstancesUntil(
  start: ModelCluster,
  instances: readonly string[],
  isDone: (cluster: ModelCluster) => boolean,
): ModelCluster {
  let cluster = start;
  while (!isDone(cluster)) {
    const { voters: stores, network } = cluster;
    const instanceWithWrites = instances.find((instance) => stores[instance]?.pendingWrites.length);
    const message = network.find(({ instance }) => instances.includes(instance));
    if (instanceWithWrites !== undefined) cluster = syncDisk(cluster, instanceWithWrites, 1);
    else if (message !== undefined) cluster = deliver(cluster, message);
    else break;
  }
  return cluster;
}

/**
 * Highest counts in any explored state; they show whether the exploration covers the events that
 * the scenario is about.
 */
interface MaximumCounts {
  committed: number;
  leaders: number;
  installedSnapshots: number;
  reads: number;
}

export function exploreScenario(
  context: TestContext,
  scenario: Scenario,
  fault: InjectedFault,
): Exploration {
  const reached: MaximumCounts = { committed: 0, leaders: 0, installedSnapshots: 0, reads: 0 };
  const model = makeClusterModel(scenario.prepare(fault), scenario.budget);
  const check = (bounded: BoundedCluster) => {
    const { committed, leaderByTerm, restoreCount, answeredReadCount } = bounded.cluster;
    reached.committed = Math.max(reached.committed, committed.length);
    reached.leaders = Math.max(reached.leaders, Object.keys(leaderByTerm).length);
    reached.installedSnapshots = Math.max(reached.installedSnapshots, restoreCount);
    reached.reads = Math.max(reached.reads, answeredReadCount);
    return model.check(bounded);
  };
  const bounds = { maxStates: 400_000, maxDepth: scenario.maxSteps };
  const exploration = exploreStates({ ...model, check }, bounds);
  const { states, depth, exhaustive } = exploration;
  context.diagnostic(`${states} states, ${depth} steps deep, exhaustive: ${exhaustive}`);
  context.diagnostic(`reached: ${JSON.stringify(reached)}`);
  return exploration;
}

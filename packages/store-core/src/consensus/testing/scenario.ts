/**
 * What explorations share: a situation is prepared by hand, then everything that can happen within
 * its bounds is tried. Each names the faults that it must notice.
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

export interface InjectedFault {
  readonly disabledSafeguard?: keyof Safeguards;
  readonly mutation?: ShellMutation;
}

export interface Scenario {
  readonly name: string;
  prepare(fault: InjectedFault): ModelCluster;
  readonly budget: Partial<Budget>;
  readonly maxSteps: number;
  /** What the exploration must catch when it is put in. */
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

/** Everything runs without faults, but for these instances, which hear and say nothing. */
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
    const voterWithWrites = Object.values(cluster.voters).find(
      ({ instance, pendingWrites, state }) =>
        state !== undefined && pendingWrites.length > 0 && !isolatedInstances.includes(instance),
    );
    const [message] = remainingMessages;
    if (voterWithWrites !== undefined) cluster = syncDisk(cluster, voterWithWrites.instance, 1);
    else if (message !== undefined) cluster = deliver(cluster, message);
    else return cluster;
  }
}

export function electLeader(
  cluster: ModelCluster,
  instance: string,
  isolatedInstances: readonly string[] = [],
) {
  const next = runUntilIdleWithout(fireTimer(cluster, instance), isolatedInstances);
  assert.equal(findLeader(next)?.instance, instance);
  return next;
}

/** Delivers the messages of now that are meant. */
export function deliverMatching(
  start: ModelCluster,
  isSelected: (message: ModelMessage) => boolean,
): ModelCluster {
  return start.network
    .filter(isSelected)
    .reduce((cluster, message) => deliver(cluster, message), start);
}

/** Hands on what is meant for these instances, and syncs their disks, until `done`. */
export function runInstancesUntil(
  start: ModelCluster,
  instances: readonly string[],
  isDone: (cluster: ModelCluster) => boolean,
): ModelCluster {
  let cluster = start;
  while (!isDone(cluster)) {
    const { voters, network } = cluster;
    const instanceWithWrites = instances.find((instance) => voters[instance]?.pendingWrites.length);
    const message = network.find(({ instance }) => instances.includes(instance));
    if (instanceWithWrites !== undefined) cluster = syncDisk(cluster, instanceWithWrites, 1);
    else if (message !== undefined) cluster = deliver(cluster, message);
    else break;
  }
  return cluster;
}

/** The furthest that any state has come, to show that an exploration meets what it is about. */
interface ReachedMaxima {
  committed: number;
  leaders: number;
  restores: number;
  reads: number;
}

export function exploreScenario(
  context: TestContext,
  scenario: Scenario,
  fault: InjectedFault,
): Exploration {
  const reached: ReachedMaxima = { committed: 0, leaders: 0, restores: 0, reads: 0 };
  const model = makeClusterModel(scenario.prepare(fault), scenario.budget);
  const check = (bounded: BoundedCluster) => {
    const { committed, leaderByTerm, restoreCount, answeredReadCount } = bounded.cluster;
    reached.committed = Math.max(reached.committed, committed.length);
    reached.leaders = Math.max(reached.leaders, Object.keys(leaderByTerm).length);
    reached.restores = Math.max(reached.restores, restoreCount);
    reached.reads = Math.max(reached.reads, answeredReadCount);
    return model.check(bounded);
  };
  const bounds = { mostStates: 400_000, mostSteps: scenario.maxSteps };
  const exploration = exploreStates({ ...model, check }, bounds);
  const { states, depth, exhaustive } = exploration;
  context.diagnostic(`${states} states, ${depth} steps deep, exhaustive: ${exhaustive}`);
  context.diagnostic(`reached: ${JSON.stringify(reached)}`);
  return exploration;
}

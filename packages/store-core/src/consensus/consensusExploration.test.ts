import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { exploreStates, type Exploration } from '@hornbeampond/testing';
import { allSafeguards, type ConsensusSettings, type Safeguards } from './ConsensusState.js';
import { clusterModel, type Budget } from './testing/clusterModel.js';
import {
  addressOf,
  crash,
  currentLeader,
  deliver,
  fireTimer,
  happen,
  makeCluster,
  propose,
  restart,
  syncDisk,
  type ModelCluster,
  type ModelMessage,
  type ShellMutation,
} from './testing/modelCluster.js';

interface Fault {
  readonly off?: keyof Safeguards;
  readonly mutation?: ShellMutation;
}

interface Scenario {
  readonly name: string;
  prepare(fault: Fault): ModelCluster;
  readonly budget: Partial<Budget>;
  readonly mostSteps: number;
  /** What the exploration must catch when it is put in. */
  readonly faults: readonly Fault[];
}

const TRIO = ['a', 'b', 'c'];

function trio(fault: Fault, settings: Partial<ConsensusSettings> = {}): ModelCluster {
  const safeguards =
    fault.off === undefined ? allSafeguards : { ...allSafeguards, [fault.off]: false };
  return makeCluster({
    voters: TRIO,
    settings: { announceCommits: false, safeguards, ...settings },
    mutation: fault.mutation,
  });
}

/** Everything runs without faults, but for these instances, which hear and say nothing. */
function settleWithout(start: ModelCluster, cutOff: readonly string[]): ModelCluster {
  let cluster = start;
  for (;;) {
    const kept = cluster.network.filter(
      ({ instance, envelope }) =>
        !cutOff.includes(instance) && !cutOff.includes(envelope.from.instance),
    );
    cluster = { ...cluster, network: kept };
    const waiting = Object.values(cluster.voters).find(
      ({ instance, jobs, state }) =>
        state !== undefined && jobs.length > 0 && !cutOff.includes(instance),
    );
    const [message] = kept;
    if (waiting !== undefined) cluster = syncDisk(cluster, waiting.instance, 1);
    else if (message !== undefined) cluster = deliver(cluster, message);
    else return cluster;
  }
}

function lead(cluster: ModelCluster, instance: string, cutOff: readonly string[] = []) {
  const next = settleWithout(fireTimer(cluster, instance), cutOff);
  assert.equal(currentLeader(next)?.instance, instance);
  return next;
}

/** Delivers the messages of now that are meant. */
function deliverAll(
  start: ModelCluster,
  isMeant: (message: ModelMessage) => boolean,
): ModelCluster {
  return start.network
    .filter(isMeant)
    .reduce((cluster, message) => deliver(cluster, message), start);
}

/** Two voters have won their pre-votes and have asked for votes in the same term. */
function twoCandidates(fault: Fault): ModelCluster {
  let cluster = fireTimer(fireTimer(trio(fault), 'a'), 'c');
  cluster = deliverAll(cluster, (message) => message.instance === 'b');
  cluster = deliverAll(cluster, (message) => message.envelope.from.instance === 'b');
  return syncDisk(syncDisk({ ...cluster, network: [] }, 'a', 1), 'c', 1);
}

/** Hands on what is meant for these instances, and syncs their disks, until `done`. */
function runAmong(
  start: ModelCluster,
  instances: readonly string[],
  done: (cluster: ModelCluster) => boolean,
): ModelCluster {
  let cluster = start;
  while (!done(cluster)) {
    const { voters, network } = cluster;
    const waiting = instances.find((instance) => voters[instance]?.jobs.length);
    const message = network.find(({ instance }) => instances.includes(instance));
    if (waiting !== undefined) cluster = syncDisk(cluster, waiting, 1);
    else if (message !== undefined) cluster = deliver(cluster, message);
    else break;
  }
  return cluster;
}

/** A leads again, and holds an entry of an older term that c, elected in between, lacks. */
function oldTermEntry(fault: Fault): ModelCluster {
  const leads = (instance: string) => (cluster: ModelCluster) =>
    currentLeader(cluster)?.instance === instance;
  let cluster = lead(trio(fault, { mostEntriesPerAppend: 1 }), 'a');
  cluster = syncDisk(propose(cluster, 'a'), 'a', 1);
  cluster = fireTimer({ ...crash(cluster, 'a'), network: [] }, 'c');
  cluster = syncDisk(runAmong(cluster, ['b', 'c'], leads('c')), 'c', 9);
  cluster = restart(restart({ ...crash(cluster, 'c'), network: [] }, 'c'), 'a');
  // The first attempt only tells a of the newer term.
  cluster = runAmong(fireTimer(cluster, 'a'), ['a', 'b'], leads('a'));
  cluster = runAmong(fireTimer(cluster, 'a'), ['a', 'b'], leads('a'));
  assert.equal(currentLeader(cluster)?.instance, 'a');
  // Until here c was out of reach.
  const reachable = cluster.network.filter(({ instance }) => instance !== 'c');
  return { ...cluster, network: reachable };
}

/** The first leader is cut off while the second acknowledges a write. */
function twoLeaders(fault: Fault): ModelCluster {
  const first = lead(trio(fault), 'a');
  return settleWithout(propose(lead(first, 'b', ['a']), 'b'), ['a']);
}

/** A write is acknowledged with copies at a and b alone. */
function writeWithoutC(fault: Fault): ModelCluster {
  return settleWithout(propose(lead(trio(fault), 'a'), 'a'), ['c']);
}

/** The leader is asked to remove both others at once. */
function twoRemovals(fault: Fault): ModelCluster {
  return ['b1', 'c1'].reduce(
    (cluster, identity) =>
      happen(cluster, 'a', {
        type: 'changeMembership',
        requestId: identity,
        change: { type: 'removeMember', identity },
      }),
    lead(trio(fault), 'a'),
  );
}

/** A new disk has just been named a learner; nothing was sent to it yet. */
function newLearner(fault: Fault): ModelCluster {
  const safeguards =
    fault.off === undefined ? allSafeguards : { ...allSafeguards, [fault.off]: false };
  const cluster = lead(
    makeCluster({
      voters: ['a', 'b'],
      spares: ['c'],
      settings: { announceCommits: false, safeguards },
    }),
    'a',
  );
  const member = { identity: 'c1', address: addressOf('c') };
  const change = { type: 'addLearner', member } as const;
  return happen(cluster, 'a', { type: 'changeMembership', requestId: 'add', change });
}

/** C lacks what a and b have compacted away. */
function laggardBehindSnapshot(fault: Fault): ModelCluster {
  let cluster = lead(trio(fault, { entriesPerSnapshot: 2, trailingEntries: 0 }), 'a');
  for (let write = 0; write < 3; write += 1) {
    cluster = settleWithout(propose(cluster, 'a'), ['c']);
  }
  return cluster;
}

const scenarios: readonly Scenario[] = [
  {
    name: 'an election between two candidates',
    prepare: twoCandidates,
    budget: { crashes: 1, duplicates: 1 },
    mostSteps: 9,
    faults: [{ off: 'oneVotePerTerm' }, { mutation: 'voteForgotten' }],
  },
  {
    name: 'a write and a change of leader',
    prepare: (fault) => lead(trio(fault), 'a'),
    budget: { timeouts: { b: 1 }, proposals: 1, crashes: 1, duplicates: 1 },
    mostSteps: 10,
    faults: [{ mutation: 'acknowledgeBeforeSync' }, { off: 'quorumIsMajority' }],
  },
  {
    name: 'an entry of an older term',
    prepare: oldTermEntry,
    budget: { timeouts: { c: 2 } },
    mostSteps: 16,
    faults: [{ off: 'commitOwnTermOnly' }],
  },
  {
    name: 'a read at a leader that has a successor',
    prepare: twoLeaders,
    budget: { timeouts: { c: 1 }, reads: 2, proposals: 1 },
    mostSteps: 8,
    faults: [{ off: 'readNeedsRound' }],
  },
  {
    name: 'a lost disk',
    prepare: writeWithoutC,
    budget: { timeouts: { b: 1, c: 1 }, crashes: 2, lostDisks: 2, duplicates: 1 },
    mostSteps: 10,
    faults: [{ mutation: 'lostDiskKeepsIdentity' }, { off: 'voteForNewerLog' }],
  },
  {
    name: 'two removals asked for at once',
    prepare: twoRemovals,
    budget: { timeouts: { b: 1, c: 1 }, proposals: 1, crashes: 1 },
    mostSteps: 10,
    faults: [{ off: 'oneChangeAtATime' }],
  },
  {
    name: 'a new learner',
    prepare: newLearner,
    budget: { timeouts: { b: 1, c: 1 }, crashes: 1 },
    mostSteps: 12,
    faults: [{ off: 'promoteWhenCaughtUp' }],
  },
  {
    name: 'a laggard behind a snapshot',
    prepare: laggardBehindSnapshot,
    budget: { timeouts: { b: 2, c: 1 }, crashes: 1, duplicates: 1 },
    mostSteps: 10,
    faults: [],
  },
];

function explore(scenario: Scenario, fault: Fault): Exploration {
  const model = clusterModel(scenario.prepare(fault), scenario.budget);
  return exploreStates(model, { mostStates: 400_000, mostSteps: scenario.mostSteps });
}

function report(context: TestContext, { states, depth, exhaustive }: Exploration): void {
  context.diagnostic(`${states} states, ${depth} steps deep, exhaustive: ${exhaustive}`);
}

scenarios.forEach((scenario) => {
  test(`Nothing goes wrong in ${scenario.name}`, (context) => {
    const exploration = explore(scenario, {});
    report(context, exploration);
    assert.equal(exploration.violation, undefined);
    assert.equal(exploration.exhaustive, true);
  });
  scenario.faults.forEach((fault) => {
    test(`${fault.off ?? fault.mutation} is caught in ${scenario.name}`, (context) => {
      const exploration = explore(scenario, fault);
      report(context, exploration);
      assert.ok(exploration.violation !== undefined);
      context.diagnostic(exploration.violation.reason);
      context.diagnostic(exploration.violation.trace.join('; '));
    });
  });
});

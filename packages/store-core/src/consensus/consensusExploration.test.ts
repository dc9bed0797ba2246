import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  crash,
  findLeader,
  fireTimer,
  propose,
  restart,
  syncDisk,
  type ModelCluster,
} from './testing/modelCluster.js';
import {
  deliverMatching,
  exploreScenario,
  electLeader,
  runInstancesUntil,
  runUntilIdleWithout,
  makeThreeVoters,
  type InjectedFault,
  type Scenario,
} from './testing/scenario.js';

/** Stores `a` and `c` have won their pre-votes and have requested votes in the same term. */
function prepareTwoCandidates(fault: InjectedFault): ModelCluster {
  let cluster = fireTimer(fireTimer(makeThreeVoters(fault), 'a'), 'c');
  cluster = deliverMatching(cluster, (message) => message.instance === 'b');
  cluster = deliverMatching(cluster, (message) => message.envelope.from.instance === 'b');
  return syncDisk(syncDisk({ ...cluster, network: [] }, 'a', 1), 'c', 1);
}

/**
 * Store `a` leads again and has an entry of an earlier term that `c`, elected in between, lacks.
 */
function prepareOldTermEntry(fault: InjectedFault): ModelCluster {
  const isLedBy = (instance: string) => (cluster: ModelCluster) =>
    findLeader(cluster)?.instance === instance;
  let cluster = electLeader(makeThreeVoters(fault, { maxEntriesPerAppend: 1 }), 'a');
  cluster = syncDisk(propose(cluster, 'a'), 'a', 1);
  cluster = fireTimer({ ...crash(cluster, 'a'), network: [] }, 'c');
  cluster = syncDisk(runInstancesUntil(cluster, ['b', 'c'], isLedBy('c')), 'c', 9);
  cluster = restart(restart({ ...crash(cluster, 'c'), network: [] }, 'c'), 'a');
  // The first election fails, but reports the newer term to `a`.
  cluster = runInstancesUntil(fireTimer(cluster, 'a'), ['a', 'b'], isLedBy('a'));
  cluster = runInstancesUntil(fireTimer(cluster, 'a'), ['a', 'b'], isLedBy('a'));
  assert.equal(findLeader(cluster)?.instance, 'a');
  // Store `c` was unreachable until here, so the messages to it are dropped.
  const withoutC = cluster.network.filter(({ instance }) => instance !== 'c');
  return { ...cluster, network: withoutC };
}

/** The first leader, `a`, is partitioned while the second, `b`, acknowledges a write. */
function prepareTwoLeaders(fault: InjectedFault): ModelCluster {
  const clusterLedByA = electLeader(makeThreeVoters(fault), 'a');
  return runUntilIdleWithout(propose(electLeader(clusterLedByA, 'b', ['a']), 'b'), ['a']);
}

const scenarios: readonly Scenario[] = [
  {
    name: 'an election between two candidates',
    prepare: prepareTwoCandidates,
    budget: { crashes: 1, duplicates: 1 },
    maxSteps: 9,
    faultsToDetect: [{ disabledSafeguard: 'oneVotePerTerm' }, { mutation: 'voteForgotten' }],
  },
  {
    name: 'a write during a change of leader',
    prepare: (fault) => electLeader(makeThreeVoters(fault), 'a'),
    budget: { timeouts: { b: 1 }, proposals: 1, crashes: 1, duplicates: 1 },
    maxSteps: 10,
    faultsToDetect: [
      { mutation: 'acknowledgeBeforeSync' },
      { disabledSafeguard: 'quorumIsMajority' },
    ],
  },
  {
    name: 'an entry of an older term',
    prepare: prepareOldTermEntry,
    budget: { timeouts: { c: 2 } },
    maxSteps: 16,
    faultsToDetect: [{ disabledSafeguard: 'commitOwnTermOnly' }],
  },
  {
    name: 'a read at a leader that was replaced',
    prepare: prepareTwoLeaders,
    budget: { timeouts: { c: 1 }, reads: 2, proposals: 1 },
    maxSteps: 8,
    faultsToDetect: [{ disabledSafeguard: 'readNeedsRound' }],
  },
];

scenarios.forEach((scenario) => {
  test(`No check fails with ${scenario.name}`, (context) => {
    const exploration = exploreScenario(context, scenario, {});
    assert.equal(exploration.violation, undefined);
    assert.equal(exploration.exhaustive, true);
  });
  scenario.faultsToDetect.forEach((fault) => {
    test(`The disabled safeguard or injected fault ${fault.disabledSafeguard ?? fault.mutation} is detected with ${scenario.name}`, (context) => {
      const exploration = exploreScenario(context, scenario, fault);
      assert.ok(exploration.violation !== undefined);
      context.diagnostic(exploration.violation.reason);
      context.diagnostic(exploration.violation.trace.join('; '));
    });
  });
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  crash,
  currentLeader,
  fireTimer,
  propose,
  restart,
  syncDisk,
  type ModelCluster,
} from './testing/modelCluster.js';
import {
  deliverAll,
  explore,
  lead,
  runAmong,
  settleWithout,
  trio,
  type Fault,
  type Scenario,
} from './testing/scenario.js';

/** Stores `a` and `c` have won their pre-votes and have requested votes in the same term. */
function prepareTwoCandidates(fault: Fault): ModelCluster {
  let cluster = fireTimer(fireTimer(trio(fault), 'a'), 'c');
  cluster = deliverAll(cluster, (message) => message.instance === 'b');
  cluster = deliverAll(cluster, (message) => message.envelope.from.instance === 'b');
  return syncDisk(syncDisk({ ...cluster, network: [] }, 'a', 1), 'c', 1);
}

/**
 * Store `a` leads again and has an entry of an earlier term that `c`, elected in between, lacks.
 */
function prepareOldTermEntry(fault: Fault): ModelCluster {
  const isLedBy = (instance: string) => (cluster: ModelCluster) =>
    currentLeader(cluster)?.instance === instance;
  let cluster = lead(trio(fault, { maxEntriesPerAppend: 1 }), 'a');
  cluster = syncDisk(propose(cluster, 'a'), 'a', 1);
  cluster = fireTimer({ ...crash(cluster, 'a'), network: [] }, 'c');
  cluster = syncDisk(runAmong(cluster, ['b', 'c'], isLedBy('c')), 'c', 9);
  cluster = restart(restart({ ...crash(cluster, 'c'), network: [] }, 'c'), 'a');
  // The first election fails, but reports the newer term to `a`.
  cluster = runAmong(fireTimer(cluster, 'a'), ['a', 'b'], isLedBy('a'));
  cluster = runAmong(fireTimer(cluster, 'a'), ['a', 'b'], isLedBy('a'));
  assert.equal(currentLeader(cluster)?.instance, 'a');
  // Store `c` was unreachable until here, so the messages to it are dropped.
  const withoutC = cluster.network.filter(({ instance }) => instance !== 'c');
  return { ...cluster, network: withoutC };
}

/** The first leader, `a`, is partitioned while the second, `b`, acknowledges a write. */
function prepareTwoLeaders(fault: Fault): ModelCluster {
  const clusterLedByA = lead(trio(fault), 'a');
  return settleWithout(propose(lead(clusterLedByA, 'b', ['a']), 'b'), ['a']);
}

const scenarios: readonly Scenario[] = [
  {
    name: 'an election between two candidates',
    prepare: prepareTwoCandidates,
    budget: { crashes: 1, duplicates: 1 },
    mostSteps: 9,
    faults: [{ off: 'oneVotePerTerm' }, { mutation: 'voteForgotten' }],
  },
  {
    name: 'a write during a change of leader',
    prepare: (fault) => lead(trio(fault), 'a'),
    budget: { timeouts: { b: 1 }, proposals: 1, crashes: 1, duplicates: 1 },
    mostSteps: 10,
    faults: [{ mutation: 'acknowledgeBeforeSync' }, { off: 'quorumIsMajority' }],
  },
  {
    name: 'an entry of an older term',
    prepare: prepareOldTermEntry,
    budget: { timeouts: { c: 2 } },
    mostSteps: 16,
    faults: [{ off: 'commitOwnTermOnly' }],
  },
  {
    name: 'a read at a leader that was replaced',
    prepare: prepareTwoLeaders,
    budget: { timeouts: { c: 1 }, reads: 2, proposals: 1 },
    mostSteps: 8,
    faults: [{ off: 'readNeedsRound' }],
  },
];

scenarios.forEach((scenario) => {
  test(`No check fails with ${scenario.name}`, (context) => {
    const exploration = explore(context, scenario, {});
    assert.equal(exploration.violation, undefined);
    assert.equal(exploration.exhaustive, true);
  });
  scenario.faults.forEach((fault) => {
    test(`The disabled safeguard or injected fault ${fault.off ?? fault.mutation} is detected with ${scenario.name}`, (context) => {
      const exploration = explore(context, scenario, fault);
      assert.ok(exploration.violation !== undefined);
      context.diagnostic(exploration.violation.reason);
      context.diagnostic(exploration.violation.trace.join('; '));
    });
  });
});

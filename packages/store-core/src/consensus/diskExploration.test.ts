import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allSafeguards } from './ConsensusState.js';
import {
  makeAddress,
  fireTimer,
  dispatchEvent,
  makeCluster,
  propose,
  type ModelCluster,
} from './testing/modelCluster.js';
import {
  deliverMatching,
  exploreScenario,
  electLeader,
  runUntilIdleWithout,
  makeThreeVoters,
  type InjectedFault,
  type Scenario,
} from './testing/scenario.js';

/** A write is acknowledged with copies at `a` and `b` only. */
function prepareWriteWithoutC(fault: InjectedFault): ModelCluster {
  return runUntilIdleWithout(propose(electLeader(makeThreeVoters(fault), 'a'), 'a'), ['c']);
}

/** The leader is asked to remove both other voters, one directly after the other. */
function prepareTwoRemovals(fault: InjectedFault): ModelCluster {
  return ['b1', 'c1'].reduce(
    (cluster, identity) =>
      dispatchEvent(cluster, 'a', {
        type: 'changeMembership',
        requestId: identity,
        change: { type: 'removeMember', identity },
      }),
    electLeader(makeThreeVoters(fault), 'a'),
  );
}

/** A new disk has just been added as a learner; no message has reached it yet. */
function prepareNewLearner(fault: InjectedFault): ModelCluster {
  const safeguards =
    fault.disabledSafeguard === undefined
      ? allSafeguards
      : { ...allSafeguards, [fault.disabledSafeguard]: false };
  const cluster = electLeader(
    makeCluster({
      voters: ['a', 'b'],
      nonMembers: ['c'],
      settings: { announceCommits: false, safeguards },
    }),
    'a',
  );
  const member = { identity: 'c1', address: makeAddress('c') };
  const change = { type: 'addLearner', member } as const;
  return dispatchEvent(cluster, 'a', { type: 'changeMembership', requestId: 'add', change });
}

/** Store `c` lacks entries that `a` and `b` have compacted. */
function prepareVoterBehindSnapshot(fault: InjectedFault): ModelCluster {
  let cluster = electLeader(
    makeThreeVoters(fault, {
      entriesPerSnapshot: 2,
      trailingEntries: 0,
      maxBytesPerSnapshotPart: 40,
    }),
    'a',
  );
  for (let write = 0; write < 3; write += 1) {
    cluster = runUntilIdleWithout(propose(cluster, 'a'), ['c']);
  }
  // The leader finds out how far `c` is behind, and sends the first part of a snapshot.
  cluster = deliverMatching(fireTimer(cluster, 'a'), (message) => message.instance === 'c');
  cluster = deliverMatching(cluster, (message) => message.envelope.from.instance === 'c');
  return cluster;
}

const scenarios: readonly Scenario[] = [
  {
    name: 'a lost disk',
    prepare: prepareWriteWithoutC,
    budget: { timeouts: { b: 1, c: 1 }, crashes: 2, lostDisks: 2, duplicates: 1 },
    maxSteps: 10,
    faultsToDetect: [
      { mutation: 'lostDiskKeepsIdentity' },
      { disabledSafeguard: 'voteForNewerLog' },
    ],
  },
  {
    name: 'two removals requested together',
    prepare: prepareTwoRemovals,
    budget: { timeouts: { b: 1, c: 1 }, proposals: 1, crashes: 1 },
    maxSteps: 10,
    faultsToDetect: [{ disabledSafeguard: 'oneChangeAtATime' }],
  },
  {
    name: 'a new learner',
    prepare: prepareNewLearner,
    budget: { timeouts: { b: 1, c: 1 }, crashes: 1 },
    maxSteps: 16,
    faultsToDetect: [{ disabledSafeguard: 'promoteWhenCaughtUp' }],
  },
  {
    name: 'a voter that needs a snapshot',
    prepare: prepareVoterBehindSnapshot,
    budget: { timeouts: { b: 1 }, crashes: 1, duplicates: 1 },
    maxSteps: 10,
    faultsToDetect: [],
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

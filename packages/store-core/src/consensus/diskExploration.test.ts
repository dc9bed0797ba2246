import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allSafeguards } from './ConsensusState.js';
import {
  addressOf,
  fireTimer,
  happen,
  makeCluster,
  propose,
  type ModelCluster,
} from './testing/modelCluster.js';
import {
  deliverAll,
  explore,
  lead,
  settleWithout,
  trio,
  type Fault,
  type Scenario,
} from './testing/scenario.js';

/** A write is acknowledged with copies at `a` and `b` only. */
function prepareWriteWithoutC(fault: Fault): ModelCluster {
  return settleWithout(propose(lead(trio(fault), 'a'), 'a'), ['c']);
}

/** The leader is asked to remove both other voters, one directly after the other. */
function prepareTwoRemovals(fault: Fault): ModelCluster {
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

/** A new disk has just been added as a learner; no message has reached it yet. */
function prepareNewLearner(fault: Fault): ModelCluster {
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

/** Store `c` lacks entries that `a` and `b` have compacted. */
function prepareVoterBehindSnapshot(fault: Fault): ModelCluster {
  let cluster = lead(
    trio(fault, { entriesPerSnapshot: 2, trailingEntries: 0, maxBytesPerSnapshotPart: 40 }),
    'a',
  );
  for (let write = 0; write < 3; write += 1) {
    cluster = settleWithout(propose(cluster, 'a'), ['c']);
  }
  // The leader finds out how far `c` is behind, and sends the first part of a snapshot.
  cluster = deliverAll(fireTimer(cluster, 'a'), (message) => message.instance === 'c');
  cluster = deliverAll(cluster, (message) => message.envelope.from.instance === 'c');
  return cluster;
}

const scenarios: readonly Scenario[] = [
  {
    name: 'a lost disk',
    prepare: prepareWriteWithoutC,
    budget: { timeouts: { b: 1, c: 1 }, crashes: 2, lostDisks: 2, duplicates: 1 },
    mostSteps: 10,
    faults: [{ mutation: 'lostDiskKeepsIdentity' }, { off: 'voteForNewerLog' }],
  },
  {
    name: 'two removals requested together',
    prepare: prepareTwoRemovals,
    budget: { timeouts: { b: 1, c: 1 }, proposals: 1, crashes: 1 },
    mostSteps: 10,
    faults: [{ off: 'oneChangeAtATime' }],
  },
  {
    name: 'a new learner',
    prepare: prepareNewLearner,
    budget: { timeouts: { b: 1, c: 1 }, crashes: 1 },
    mostSteps: 16,
    faults: [{ off: 'promoteWhenCaughtUp' }],
  },
  {
    name: 'a voter that needs a snapshot',
    prepare: prepareVoterBehindSnapshot,
    budget: { timeouts: { b: 1 }, crashes: 1, duplicates: 1 },
    mostSteps: 10,
    faults: [],
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

import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { allSafeguards, type ConsensusSettings, type Safeguards } from './ConsensusState.js';
import {
  makeCluster,
  type ModelCluster,
  type ModelClusterOptions,
  type ShellMutation,
} from './testing/modelCluster.js';
import { hasQuorumOfDisks, recoverFromFaults, runSchedule } from './testing/runSchedule.js';

const PICKS_PER_SCHEDULE = 400;
const settings: Partial<ConsensusSettings> = {
  entriesPerSnapshot: 12,
  trailingEntries: 3,
  maxEntriesPerAppend: 3,
  maxBytesPerSnapshotPart: 60,
};

const schedules = fc.array(fc.nat(), {
  minLength: PICKS_PER_SCHEDULE,
  maxLength: PICKS_PER_SCHEDULE,
  size: 'max',
});

interface Totals {
  runs: number;
  committed: number;
  reads: number;
  leaders: number;
  restores: number;
  quorate: number;
}

function addToTotals(totals: Totals, cluster: ModelCluster): void {
  totals.runs += 1;
  totals.committed += cluster.committed.length;
  totals.reads += cluster.answeredReadCount;
  totals.restores += cluster.restoreCount;
  totals.leaders += Object.keys(cluster.leaderByTerm).length;
}

function checkSchedules(
  context: TestContext,
  options: ModelClusterOptions,
  seed: number,
  numRuns: number,
): void {
  const totals: Totals = { runs: 0, committed: 0, reads: 0, leaders: 0, restores: 0, quorate: 0 };
  const property = fc.property(schedules, (picks) => {
    const schedule = runSchedule(makeCluster({ settings, ...options }), picks);
    assert.equal(schedule.cluster.violation, undefined);
    addToTotals(totals, schedule.cluster);
    const indexBefore = schedule.cluster.acknowledgedIndex;
    recoverFromFaults(schedule);
    assert.equal(schedule.cluster.violation, undefined);
    if (!hasQuorumOfDisks(schedule)) return;
    totals.quorate += 1;
    assert.ok(
      schedule.cluster.acknowledgedIndex > indexBefore,
      'the healed cluster accepts no write',
    );
  });
  fc.assert(property, { seed, numRuns, endOnFailure: true });
  context.diagnostic(JSON.stringify(totals));
}

const THREE_VOTERS = ['a', 'b', 'c'];
const FIVE_VOTERS = ['a', 'b', 'c', 'd', 'e'];

test('Random schedules fail no check with three voters', (context) => {
  checkSchedules(context, { voters: THREE_VOTERS }, 301, 150);
});

test('Random schedules fail no check with five voters', (context) => {
  checkSchedules(context, { voters: FIVE_VOTERS }, 501, 80);
});

test('Random schedules fail no check with three voters and two spares', (context) => {
  checkSchedules(context, { voters: THREE_VOTERS, nonMembers: ['d', 'e'] }, 302, 80);
});

test('Random schedules fail no check while unreachable members are removed', (context) => {
  const removalSettings = { ...settings, unreachableMemberTimeout: 1500, leastVoters: 3 };
  checkSchedules(
    context,
    { voters: FIVE_VOTERS, nonMembers: ['f', 'g'], settings: removalSettings },
    503,
    80,
  );
});

interface Fault {
  readonly off?: keyof Safeguards;
  readonly mutation?: ShellMutation;
}

// voteForgotten is left to the explorer: here the wait after a start hides it.
const faults: readonly Fault[] = [
  { mutation: 'acknowledgeBeforeSync' },
  { mutation: 'lostDiskKeepsIdentity' },
  { off: 'quorumIsMajority' },
  { off: 'readNeedsRound' },
  { off: 'voteForNewerLog' },
  { off: 'oneVotePerTerm' },
  { off: 'promoteWhenCaughtUp' },
];

faults.forEach(({ off, mutation }) => {
  test(`Random schedules detect ${off ?? mutation}`, (context) => {
    const safeguards = off === undefined ? allSafeguards : { ...allSafeguards, [off]: false };
    const options = { voters: THREE_VOTERS, settings: { ...settings, safeguards }, mutation };
    let violation: string | undefined;
    const property = fc.property(schedules, (picks) => {
      violation = runSchedule(makeCluster(options), picks).cluster.violation;
      return violation === undefined;
    });
    const details = fc.check(property, { seed: 303, numRuns: 600, endOnFailure: true });
    context.diagnostic(`after ${details.numRuns} schedules: ${violation}`);
    assert.equal(details.failed, true);
  });
});

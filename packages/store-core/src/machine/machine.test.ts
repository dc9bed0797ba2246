import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CommandResult, StoreCommand } from '@hornbeampond/schema';
import { matchSnapshot } from '@hornbeampond/testing';
import { applyCommand } from './applyCommand.js';
import {
  BARRED_ATTEMPT_RETENTION_MILLISECONDS,
  CHANGE_RETENTION_MILLISECONDS,
  CLAIM_RETENTION_MILLISECONDS,
  MAX_CLAIMS,
} from './constants.js';
import { MachineState } from './MachineState.js';
import { quarantineAt } from './quarantine.js';

const START = 1_000_000;
const MINUTE = 60_000;

interface TimedCommand {
  readonly after: number;
  readonly command: StoreCommand;
}

/** Runs the commands and returns the text of each with its result. */
function formatTranscript(state: MachineState, commands: readonly TimedCommand[]): string {
  return commands
    .map(({ after, command }) => {
      const result = applyCommand(state, { at: START + after, command });
      return `${after} ${JSON.stringify(command)}\n  ${JSON.stringify(result)}`;
    })
    .join('\n');
}

function run(state: MachineState, after: number, command: StoreCommand): CommandResult {
  return applyCommand(state, { at: START + after, command });
}

function openCommand(attemptId: string, digest = 'lot'): StoreCommand {
  const claim = { workspace: 'laden', key: 'offer-1', digest };
  return { type: 'openClaim', ...claim, holder: 'entry-1', attemptId, expiresAfter: MINUTE };
}

function releaseCommand(attemptId: string): StoreCommand {
  return { type: 'releaseClaim', workspace: 'laden', key: 'offer-1', attemptId };
}

function settleCommand(
  attemptId: string,
  outcome: 'done' | 'unknown',
  bodyBytes?: number,
): StoreCommand {
  const body = new Uint8Array(bodyBytes ?? 0);
  const answer = { status: 201, headers: {}, body };
  const settled = { workspace: 'laden', key: 'offer-1', attemptId, outcome } as const;
  return { type: 'settleClaim', ...settled, ...(bodyBytes === undefined ? {} : { answer }) };
}

function makePool(name: string): unknown {
  const instanceClass = { name: 'small', eurosPerHour: 0.1, reclaimable: true, concurrency: 8 };
  const instanceClasses = [instanceClass];
  return {
    name,
    kind: 'plainService',
    dataCentres: ['wien-a'],
    instanceClasses,
    least: 1,
    most: 4,
  };
}

function makeRoute(name: string, to: string): unknown {
  const deadline = { firstTokenMilliseconds: 500, wholeAnswerMilliseconds: 2000 };
  const match = { pathPrefix: `/${name}` };
  return { name, match, pool: to, idempotent: false, timeZone: 'Europe/Vienna', deadline };
}

function putCommand(
  table: 'routes' | 'pools',
  baseRevision: number,
  changeId: string,
  rows: readonly unknown[],
): StoreCommand {
  return { type: 'putTable', table, baseRevision, changeId, rows };
}

function takeLeaseCommand(holder: string, duration = 10_000): StoreCommand {
  return { type: 'takeLease', lease: 'wien-a', holder, duration };
}

function crashReport(crashId: string, ...digests: string[]): StoreCommand {
  return { type: 'reportCrash', backendServer: 'buylist-1', crashId, digests };
}

test('machine: a claim is opened, released, barred and settled', async () => {
  const commands = [
    { after: 0, command: openCommand('a') },
    { after: 1, command: openCommand('a') },
    { after: 2, command: openCommand('b') },
    { after: 3, command: openCommand('b', 'other lot') },
    { after: 4, command: releaseCommand('a') },
    { after: 5, command: openCommand('a') },
    { after: 6, command: settleCommand('a', 'done') },
    { after: 7, command: openCommand('c') },
    { after: 8, command: settleCommand('b', 'done') },
    { after: 9, command: settleCommand('c', 'done', 0) },
    { after: 10, command: settleCommand('c', 'unknown') },
    { after: 11, command: releaseCommand('c') },
    { after: 12, command: openCommand('d') },
    { after: 13, command: releaseCommand('d') },
  ];
  await matchSnapshot(import.meta.url, 'claims', formatTranscript(new MachineState(), commands));
});

// The entry that holds the claim is unreachable. After the expiry a resend gets `unknown`, and once the
// entry has settled the claim with an answer, a resend gets that answer.
test('machine: an expired claim is unknown until its holder settles it', async () => {
  const commands = [
    { after: 0, command: openCommand('a') },
    { after: MINUTE - 1, command: openCommand('b') },
    { after: MINUTE, command: openCommand('b') },
    { after: MINUTE + 1, command: openCommand('a') },
    { after: MINUTE + 2, command: settleCommand('a', 'done', 0) },
    { after: MINUTE + 3, command: openCommand('b') },
    { after: MINUTE + 2 + CLAIM_RETENTION_MILLISECONDS, command: openCommand('b') },
  ];
  await matchSnapshot(import.meta.url, 'expiry', formatTranscript(new MachineState(), commands));
});

test('machine: an answer above the size limit is not stored, and its claim is still done', () => {
  const state = new MachineState();
  run(state, 0, openCommand('a'));
  run(state, 1, settleCommand('a', 'done', 64 * 1024 + 1));
  assert.deepEqual(run(state, 2, openCommand('b')), { type: 'claimDone' });
});

// Guards against a resend that gets `unknown` for a call that ran, only because its answer was removed.
test('machine: above the total size limit the oldest answers are removed', () => {
  const state = new MachineState();
  const keys = Array.from({ length: 1100 }, (_unused, position) => `offer-${position}`);
  keys.forEach((key) => {
    run(state, 0, { ...openCommand(key), key } as StoreCommand);
    run(state, 0, { ...settleCommand(key, 'done', 64 * 1024), key } as StoreCommand);
  });
  const read = (key: string): CommandResult =>
    run(state, 1, { ...openCommand('r'), key } as StoreCommand);
  assert.deepEqual(read('offer-0'), { type: 'claimDone' });
  assert.ok('answer' in read('offer-1099'));
  assert.equal(state.answers.size, 1024);
  assert.equal(state.answerBytes, 64 * 1024 * 1024);
});

test('machine: claims and barred attempts are removed after their retention', () => {
  const state = new MachineState();
  run(state, 0, openCommand('a'));
  run(state, 0, settleCommand('a', 'done', 10));
  run(state, 0, releaseCommand('never opened'));
  run(state, BARRED_ATTEMPT_RETENTION_MILLISECONDS - 1, takeLeaseCommand('x'));
  assert.equal(state.barredAttempts.size, 1);
  run(state, BARRED_ATTEMPT_RETENTION_MILLISECONDS, takeLeaseCommand('x'));
  assert.equal(state.barredAttempts.size, 0);
  run(state, CLAIM_RETENTION_MILLISECONDS, takeLeaseCommand('x'));
  assert.deepEqual([state.claims.size, state.answers.size, state.answerBytes], [0, 0, 0]);
});

// Guards against removing an old claim to make room for a new one: a resend of its call would run twice.
test('machine: at the limit new claims are refused until old ones expire', () => {
  const state = new MachineState();
  for (let position = 0; position < MAX_CLAIMS; position += 1) {
    run(state, 0, { ...openCommand(`${position}`), key: `offer-${position}` } as StoreCommand);
  }
  assert.deepEqual(run(state, 1, openCommand('late')).type, 'claimRunning');
  const late = { ...openCommand('late'), key: 'new' } as StoreCommand;
  assert.deepEqual(run(state, 1, late), { type: 'claimsFull' });
  assert.deepEqual(run(state, MINUTE + CLAIM_RETENTION_MILLISECONDS, late), {
    type: 'claimOpened',
  });
});

test('machine: changes of the tables', async () => {
  const commands = [
    { after: 0, command: putCommand('routes', 0, 'early', [makeRoute('offers', 'buylist')]) },
    { after: 1, command: putCommand('pools', 0, 'anna', [makePool('buylist')]) },
    { after: 2, command: putCommand('pools', 0, 'bela', [makePool('offers')]) },
    { after: 3, command: putCommand('routes', 0, 'routes', [makeRoute('offers', 'buylist')]) },
    { after: 4, command: putCommand('pools', 1, 'break the join', [makePool('offers')]) },
    { after: 5, command: putCommand('pools', 0, 'anna', [makePool('buylist')]) },
    { after: 6, command: putCommand('pools', 0, 'anna', [makePool('other')]) },
    { after: 7, command: putCommand('pools', 1, 'faulty', [{ name: 'x', least: 3 }]) },
    {
      after: CHANGE_RETENTION_MILLISECONDS + 1,
      command: putCommand('pools', 0, 'anna', [makePool('buylist')]),
    },
  ];
  await matchSnapshot(import.meta.url, 'tables', formatTranscript(new MachineState(), commands));
});

test('machine: leases and their epochs', async () => {
  const commands = [
    { after: 0, command: takeLeaseCommand('x') },
    { after: 6000, command: takeLeaseCommand('y') },
    { after: 9000, command: takeLeaseCommand('x', 5000) },
    { after: 13_999, command: takeLeaseCommand('y') },
    { after: 14_000, command: takeLeaseCommand('x') },
    { after: 15_000, command: { type: 'releaseLease', lease: 'wien-a', holder: 'x', epoch: 1 } },
    { after: 15_001, command: takeLeaseCommand('y') },
    { after: 15_002, command: { type: 'releaseLease', lease: 'wien-a', holder: 'x', epoch: 2 } },
    { after: 15_003, command: takeLeaseCommand('y', 99 * MINUTE) },
  ] satisfies TimedCommand[];
  await matchSnapshot(import.meta.url, 'leases', formatTranscript(new MachineState(), commands));
});

// A new leader's wall clock is behind. Guards against an expired lease that becomes valid again.
test('machine: time never goes back', () => {
  const state = new MachineState();
  run(state, 0, takeLeaseCommand('x', 1000));
  run(state, 1000, openCommand('a'));
  assert.equal(run(state, 500, takeLeaseCommand('y')).type, 'leaseHeld');
  assert.equal(state.lastAt, START + 1000);
});

// Three requests run at one crash and do not run together again. Of these only the request that runs at
// a second crash is quarantined.
test('machine: a second crash quarantines its only suspect and exonerates the others', async () => {
  const commands = [
    { after: 0, command: crashReport('one', 'bad', 'left', 'right') },
    { after: 1, command: crashReport('one', 'bad') },
    { after: 2, command: crashReport('two', 'bad', 'new') },
    { after: 3, command: crashReport('three', 'left', 'new') },
    { after: 4, command: crashReport('four', 'bad', 'later') },
    { after: 5, command: crashReport('five', 'later') },
  ];
  const state = new MachineState();
  await matchSnapshot(import.meta.url, 'named', formatTranscript(state, commands));
  const named = (after: number) => quarantineAt(state, START + after).map(({ digest }) => digest);
  assert.deepEqual(named(10 * MINUTE + 3), ['bad']);
  assert.deepEqual(named(10 * MINUTE + 4), []);
});

// Two requests ran together at two crashes. Neither is quarantined until a third crash, at which one
// of them ran alone or both ran together again.
test('machine: requests that crashed together twice are distinguished by a third crash', async () => {
  const together = [
    { after: 0, command: crashReport('one', 'bad', 'good') },
    { after: 1, command: crashReport('two', 'bad', 'good') },
  ];
  const thirdAlone = [...together, { after: 2, command: crashReport('three', 'bad') }];
  const thirdTogether = [...together, { after: 2, command: crashReport('three', 'bad', 'good') }];
  const transcripts = [thirdAlone, thirdTogether].map((commands) =>
    formatTranscript(new MachineState(), commands),
  );
  await matchSnapshot(import.meta.url, 'inseparable', transcripts.join('\n\n'));
});

// Two entries report the second crash of two requests in parts. After the first report one request is
// the only suspect and quarantined; the second report adds the other, so that neither stays quarantined.
test('machine: a crash reported in parts is attributed as one', () => {
  const state = new MachineState();
  run(state, 0, crashReport('one', 'bad', 'good'));
  run(state, 1, crashReport('two', 'good'));
  assert.deepEqual(run(state, 2, crashReport('two', 'bad')), {
    type: 'crashCounted',
    quarantined: [],
  });
  assert.deepEqual(quarantineAt(state, START + 2), []);
});

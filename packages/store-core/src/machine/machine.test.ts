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

interface At {
  readonly after: number;
  readonly command: StoreCommand;
}

/** Runs commands at times after the start and tells each with its result, one a line. */
function transcript(state: MachineState, commands: readonly At[]): string {
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

function open(attemptId: string, digest = 'lot'): StoreCommand {
  const claim = { workspace: 'laden', key: 'offer-1', digest };
  return { type: 'openClaim', ...claim, holder: 'entry-1', attemptId, expiresAfter: MINUTE };
}

function release(attemptId: string): StoreCommand {
  return { type: 'releaseClaim', workspace: 'laden', key: 'offer-1', attemptId };
}

function settle(attemptId: string, outcome: 'done' | 'unknown', bodyBytes?: number): StoreCommand {
  const body = new Uint8Array(bodyBytes ?? 0);
  const answer = { status: 201, headers: {}, body };
  const settled = { workspace: 'laden', key: 'offer-1', attemptId, outcome } as const;
  return { type: 'settleClaim', ...settled, ...(bodyBytes === undefined ? {} : { answer }) };
}

function pool(name: string): unknown {
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

function route(name: string, to: string): unknown {
  const deadline = { firstTokenMilliseconds: 500, wholeAnswerMilliseconds: 2000 };
  const match = { pathPrefix: `/${name}` };
  return { name, match, pool: to, idempotent: false, timeZone: 'Europe/Vienna', deadline };
}

function put(
  table: 'routes' | 'pools',
  baseRevision: number,
  changeId: string,
  rows: readonly unknown[],
): StoreCommand {
  return { type: 'putTable', table, baseRevision, changeId, rows };
}

function take(holder: string, duration = 10_000): StoreCommand {
  return { type: 'takeLease', lease: 'wien-a', holder, duration };
}

function crash(crashId: string, ...digests: string[]): StoreCommand {
  return { type: 'reportCrash', backendServer: 'buylist-1', crashId, digests };
}

test('machine: the life of claims', async () => {
  const commands = [
    { after: 0, command: open('a') },
    { after: 1, command: open('a') },
    { after: 2, command: open('b') },
    { after: 3, command: open('b', 'other lot') },
    { after: 4, command: release('a') },
    { after: 5, command: open('a') },
    { after: 6, command: settle('a', 'done') },
    { after: 7, command: open('c') },
    { after: 8, command: settle('b', 'done') },
    { after: 9, command: settle('c', 'done', 0) },
    { after: 10, command: settle('c', 'unknown') },
    { after: 11, command: release('c') },
    { after: 12, command: open('d') },
    { after: 13, command: release('d') },
  ];
  await matchSnapshot(import.meta.url, 'claims', transcript(new MachineState(), commands));
});

// The entry that held the claim died or was cut off. A caller's resend is told `unknown` after the
// expiry; if the first entry comes back with the answer it had, resends are given that instead.
test('machine: a claim that expires reads unknown until its answer comes', async () => {
  const commands = [
    { after: 0, command: open('a') },
    { after: MINUTE - 1, command: open('b') },
    { after: MINUTE, command: open('b') },
    { after: MINUTE + 1, command: open('a') },
    { after: MINUTE + 2, command: settle('a', 'done', 0) },
    { after: MINUTE + 3, command: open('b') },
    { after: MINUTE + 2 + CLAIM_RETENTION_MILLISECONDS, command: open('b') },
  ];
  await matchSnapshot(import.meta.url, 'expiry', transcript(new MachineState(), commands));
});

test('machine: an answer above the bound is not kept, and its claim still reads done', () => {
  const state = new MachineState();
  run(state, 0, open('a'));
  run(state, 1, settle('a', 'done', 64 * 1024 + 1));
  assert.deepEqual(run(state, 2, open('b')), { type: 'claimDone' });
});

// Answers are stored faster than they are forgotten. The oldest go, and a resend of theirs is told
// that the call ran, never that this is not known.
test('machine: past the bound on all answers the oldest are dropped', () => {
  const state = new MachineState();
  const keys = Array.from({ length: 1100 }, (_unused, position) => `offer-${position}`);
  keys.forEach((key) => {
    run(state, 0, { ...open(key), key } as StoreCommand);
    run(state, 0, { ...settle(key, 'done', 64 * 1024), key } as StoreCommand);
  });
  const read = (key: string): CommandResult => run(state, 1, { ...open('r'), key } as StoreCommand);
  assert.deepEqual(read('offer-0'), { type: 'claimDone' });
  assert.ok('answer' in read('offer-1099'));
  assert.equal(state.answers.size, 1024);
  assert.equal(state.answerBytes, 64 * 1024 * 1024);
});

test('machine: claims and bars are forgotten after their time', () => {
  const state = new MachineState();
  run(state, 0, open('a'));
  run(state, 0, settle('a', 'done', 10));
  run(state, 0, release('never opened'));
  run(state, BARRED_ATTEMPT_RETENTION_MILLISECONDS - 1, take('x'));
  assert.equal(state.barredAttempts.size, 1);
  run(state, BARRED_ATTEMPT_RETENTION_MILLISECONDS, take('x'));
  assert.equal(state.barredAttempts.size, 0);
  run(state, CLAIM_RETENTION_MILLISECONDS, take('x'));
  assert.deepEqual([state.claims.size, state.answers.size, state.answerBytes], [0, 0, 0]);
});

// A flood of keys fills the bound. Were the oldest claim dropped instead, a resend of its call
// would run twice; so new ones are refused until time has made room.
test('machine: past the bound on claims new ones are refused', () => {
  const state = new MachineState();
  for (let position = 0; position < MAX_CLAIMS; position += 1) {
    run(state, 0, { ...open(`${position}`), key: `offer-${position}` } as StoreCommand);
  }
  assert.deepEqual(run(state, 1, open('late')).type, 'claimRunning');
  const late = { ...open('late'), key: 'new' } as StoreCommand;
  assert.deepEqual(run(state, 1, late), { type: 'claimsFull' });
  assert.deepEqual(run(state, MINUTE + CLAIM_RETENTION_MILLISECONDS, late), {
    type: 'claimOpened',
  });
});

test('machine: changes of the tables', async () => {
  const commands = [
    { after: 0, command: put('routes', 0, 'early', [route('offers', 'buylist')]) },
    { after: 1, command: put('pools', 0, 'anna', [pool('buylist')]) },
    { after: 2, command: put('pools', 0, 'bela', [pool('offers')]) },
    { after: 3, command: put('routes', 0, 'routes', [route('offers', 'buylist')]) },
    { after: 4, command: put('pools', 1, 'break the join', [pool('offers')]) },
    { after: 5, command: put('pools', 0, 'anna', [pool('buylist')]) },
    { after: 6, command: put('pools', 0, 'anna', [pool('other')]) },
    { after: 7, command: put('pools', 1, 'faulty', [{ name: 'x', least: 3 }]) },
    {
      after: CHANGE_RETENTION_MILLISECONDS + 1,
      command: put('pools', 0, 'anna', [pool('buylist')]),
    },
  ];
  await matchSnapshot(import.meta.url, 'tables', transcript(new MachineState(), commands));
});

test('machine: leases and their epochs', async () => {
  const commands = [
    { after: 0, command: take('x') },
    { after: 6000, command: take('y') },
    { after: 9000, command: take('x', 5000) },
    { after: 13_999, command: take('y') },
    { after: 14_000, command: take('x') },
    { after: 15_000, command: { type: 'releaseLease', lease: 'wien-a', holder: 'x', epoch: 1 } },
    { after: 15_001, command: take('y') },
    { after: 15_002, command: { type: 'releaseLease', lease: 'wien-a', holder: 'x', epoch: 2 } },
    { after: 15_003, command: take('y', 99 * MINUTE) },
  ] satisfies At[];
  await matchSnapshot(import.meta.url, 'leases', transcript(new MachineState(), commands));
});

// A new leader's wall clock is behind. Without the machine's own lower bound on time a lease that
// had ended would be held again, by two.
test('machine: time never goes back', () => {
  const state = new MachineState();
  run(state, 0, take('x', 1000));
  run(state, 1000, open('a'));
  assert.equal(run(state, 500, take('y')).type, 'leaseHeld');
  assert.equal(state.lastAt, START + 1000);
});

// A lot crashes the backend server under it and two neighbours. All three are run again, apart from
// each other; the lot takes down a second one, and from then on it alone is refused.
test('machine: the second crash names the one suspect, and clears its neighbours', async () => {
  const commands = [
    { after: 0, command: crash('one', 'bad', 'left', 'right') },
    { after: 1, command: crash('one', 'bad') },
    { after: 2, command: crash('two', 'bad', 'new') },
    { after: 3, command: crash('three', 'left', 'new') },
    { after: 4, command: crash('four', 'bad', 'later') },
    { after: 5, command: crash('five', 'later') },
  ];
  const state = new MachineState();
  await matchSnapshot(import.meta.url, 'named', transcript(state, commands));
  const named = (after: number) => quarantineAt(state, START + after).map(({ digest }) => digest);
  assert.deepEqual(named(10 * MINUTE + 3), ['bad']);
  assert.deepEqual(named(10 * MINUTE + 4), []);
});

// Two requests happened to crash together twice, before word of the first crash had spread. Either
// may be the cause: none is refused yet. Run apart, the third crash tells.
test('machine: requests that crashed together twice are told apart by the third crash', async () => {
  const together = [
    { after: 0, command: crash('one', 'bad', 'good') },
    { after: 1, command: crash('two', 'bad', 'good') },
  ];
  const apart = [...together, { after: 2, command: crash('three', 'bad') }];
  const never = [...together, { after: 2, command: crash('three', 'bad', 'good') }];
  const told = [apart, never].map((commands) => transcript(new MachineState(), commands));
  await matchSnapshot(import.meta.url, 'inseparable', told.join('\n\n'));
});

// One crash is reported in parts, by the entries whose requests ran there. The first part alone has
// one suspect, who is named; with the second part there are two, and the naming is taken back.
test('machine: a crash reported in parts is judged as one', () => {
  const state = new MachineState();
  run(state, 0, crash('one', 'bad', 'good'));
  run(state, 1, crash('two', 'good'));
  assert.deepEqual(run(state, 2, crash('two', 'bad')), { type: 'crashCounted', quarantined: [] });
  assert.deepEqual(quarantineAt(state, START + 2), []);
});

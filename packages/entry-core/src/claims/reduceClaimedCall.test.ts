import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_STORED_ANSWER_BYTES, type ClaimResult } from '@hornbeampond/schema';
import { matchSnapshot } from '@hornbeampond/testing';
import type {
  ClaimCommand,
  ClaimedCallState,
  ClaimedCallEffect,
  ClaimedCallEvent,
} from './ClaimedCallState.js';
import { reduceClaimedCall, startClaimedCall } from './reduceClaimedCall.js';

const intent = { workspace: 'laden', key: 'offer-1', digest: 'lot', holder: 'entry-1' };
const EXPIRES_AFTER_MILLISECONDS = 60_000;
const answer = { status: 201, headers: {}, body: new Uint8Array(2) };

function startCall(): ClaimedCallState {
  return startClaimedCall(intent, 'a', 0, EXPIRES_AFTER_MILLISECONDS).call;
}

function claimResult(type: ClaimResult['type'], command: ClaimCommand['type']): ClaimedCallEvent {
  return { type: 'claimResult', now: 10, command, result: { type } as ClaimResult };
}

const opened = claimResult('claimOpened', 'openClaim');
const released = claimResult('claimReleased', 'releaseClaim');
const resendDue: ClaimedCallEvent = { type: 'resendDue', now: 300 };
const storeUnavailable: ClaimedCallEvent = {
  type: 'storeFailed',
  now: 5,
  command: 'openClaim',
  nothingDone: true,
};

/** Lists the phase and the effects after each event. */
function formatTranscript(events: readonly ClaimedCallEvent[]): string {
  const call = startCall();
  const lines = events.map((event) => {
    const effects = reduceClaimedCall(call, event).map((effect) => JSON.stringify(effect));
    return [`${JSON.stringify(event)} -> ${call.phase}`, ...effects].join('\n  ');
  });
  return lines.join('\n');
}

const answeredImmediately: ClaimedCallEvent[] = [
  opened,
  { type: 'answered', answer },
  resendDue,
  claimResult('claimSettled', 'settleClaim'),
];
const failedBeforeFirstByte: ClaimedCallEvent[] = [
  opened,
  { type: 'sendFailed', beforeFirstByte: true },
  opened,
  released,
];
const lostWhileSending: ClaimedCallEvent[] = [
  opened,
  { type: 'sendFailed', beforeFirstByte: false },
  claimResult('claimSettled', 'settleClaim'),
];
const answeredAfterDeadline: ClaimedCallEvent[] = [
  opened,
  { type: 'deadlineReached' },
  { type: 'answered', answer },
];
const openUnacknowledged: ClaimedCallEvent[] = [
  resendDue,
  storeUnavailable,
  resendDue,
  resendDue,
  opened,
  released,
];
const releaseUnacknowledged: ClaimedCallEvent[] = [
  resendDue,
  resendDue,
  resendDue,
  { ...resendDue, now: EXPIRES_AFTER_MILLISECONDS },
];

const cases: Record<string, ClaimedCallEvent[]> = {
  'answered at once': answeredImmediately,
  'failed before the first byte': failedBeforeFirstByte,
  'cut while sending': lostWhileSending,
  'answer after the deadline': answeredAfterDeadline,
  'unsure open': openUnacknowledged,
  'a release that is never acknowledged': releaseUnacknowledged,
  'store unreachable': [storeUnavailable],
  'claim running': [
    claimResult('claimRunning', 'openClaim'),
    resendDue,
    claimResult('claimRunning', 'openClaim'),
    resendDue,
    claimResult('claimUnknown', 'openClaim'),
  ],
  'claim running until the deadline': [
    claimResult('claimRunning', 'openClaim'),
    { type: 'deadlineReached' },
    released,
  ],
  'claim running, then the log is silent': [
    claimResult('claimRunning', 'openClaim'),
    resendDue,
    storeUnavailable,
    resendDue,
    resendDue,
    resendDue,
    released,
  ],
  'key reused': [claimResult('claimKeyReused', 'openClaim'), released],
  'claims full': [claimResult('claimsFull', 'openClaim'), released],
  'outcome unknown': [claimResult('claimUnknown', 'openClaim')],
  'done, answer not kept': [claimResult('claimDone', 'openClaim')],
  'deadline before the grant': [{ type: 'deadlineReached' }, opened, released],
};

Object.entries(cases).forEach(([name, events]) => {
  test(`claimed call: ${name}`, async () => {
    await matchSnapshot(import.meta.url, name, formatTranscript(events));
  });
});

test('claimed call: a second request gets the stored answer', () => {
  const result = { type: 'claimDone', answer } as const;
  const effects = reduceClaimedCall(startCall(), {
    type: 'claimResult',
    now: 1,
    command: 'openClaim',
    result,
  });
  assert.deepEqual(effects, [{ type: 'answer', answer, replayed: true }, { type: 'finished' }]);
});

// The first request, present here only as the result `claimRunning`, has run the call, but the log
// receives its outcome later.
test('claimed call: a second request waits for the outcome of the first', () => {
  const call = startCall();
  const waiting = reduceClaimedCall(call, claimResult('claimRunning', 'openClaim'));
  assert.deepEqual(waiting, [{ type: 'startResendTimer', after: 50 }]);
  const [asked] = reduceClaimedCall(call, { type: 'resendDue', now: 60 });
  assert.equal(asked?.type === 'propose' && asked.command.type, 'openClaim');
  const result = { type: 'claimDone', answer } as const;
  const done = { type: 'claimResult', now: 61, command: 'openClaim', result } as const;
  const [given] = reduceClaimedCall(call, done);
  assert.deepEqual(given, { type: 'answer', answer, replayed: true });
});

test('claimed call: a claim granted after its expiry is released without sending the call', () => {
  const call = startCall();
  const late = { ...opened, now: EXPIRES_AFTER_MILLISECONDS } as ClaimedCallEvent;
  const effects = reduceClaimedCall(call, late).map(({ type }) => type);
  assert.deepEqual(effects, ['refuse', 'propose', 'startResendTimer']);
  assert.equal(call.phase, 'releasing');
});

test('claimed call: a body too large for the log is still sent to the caller', () => {
  const call = startCall();
  reduceClaimedCall(call, opened);
  const large = { ...answer, body: new Uint8Array(MAX_STORED_ANSWER_BYTES + 1) };
  const [answering, settling] = reduceClaimedCall(call, { type: 'answered', answer: large });
  assert.deepEqual(answering, { type: 'answer', answer: large, replayed: false });
  const command = settling?.type === 'propose' ? settling.command : undefined;
  const stored = command?.type === 'settleClaim' ? command.answer : undefined;
  assert.deepEqual(stored, { status: 201, headers: {} });
});

// Without a quorum the release may be acknowledged only long after the caller's deadline.
test('claimed call: a failed claim is reported before its release is acknowledged', () => {
  const call = startCall();
  let effects: ClaimedCallEffect[] = [];
  [200, 600, 1400].forEach((now) => {
    effects = reduceClaimedCall(call, { type: 'resendDue', now });
  });
  assert.deepEqual(effects[0], { type: 'refuse', kind: 'claimsUnavailable', ran: 'no' });
  const proposed = effects.find((effect) => effect.type === 'propose');
  assert.equal(proposed?.command.type, 'releaseClaim');
});

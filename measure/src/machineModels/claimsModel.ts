/**
 * Everything that can happen to the claim of one key: callers resend it through several entries
 * over a network that loses, repeats, delays and reorders at will, and entries crash.
 *
 * The network is the set of all messages ever sent; any of them may be delivered at any time, any
 * number of times, or never. A crashed entry is one that takes no more steps, which every state
 * allows. So loss, repeats, reordering and crashes need no steps of their own.
 */
import assert from 'node:assert/strict';
import type { ClaimResult, StoredAnswer } from '@hornbeampond/schema';
import {
  reduceClaimedCall,
  startClaimedCall,
  type ClaimCommand,
  type ClaimedCallState,
  type ClaimedCallEffect,
  type ClaimedCallEvent,
} from '@hornbeampond/entry-core';
import {
  applyCommand,
  CLAIM_RETENTION_MILLISECONDS,
  MachineState,
  restoreSnapshot,
  takeSnapshot,
} from '@hornbeampond/store-core';
import type { Model, Step } from '@hornbeampond/testing';

/** The real functions, or a mutation of one of them. */
export interface ClaimsParts {
  readonly apply: typeof applyCommand;
  readonly reduce: typeof reduceClaimedCall;
}

export const realClaimsParts: ClaimsParts = { apply: applyCommand, reduce: reduceClaimedCall };

export interface ClaimsBounds {
  /** Digest of the body that each caller sends under the one key. */
  readonly callers: readonly string[];
  readonly attemptsPerCaller: number;
  readonly mostTries: number;
  /** How often the time may jump. */
  readonly jumps: number;
  /** Past the expiry of all open claims, or past the time that claims are remembered. */
  readonly jumpsPast?: 'expiry' | 'retention';
}

export const EXPIRES_AFTER = 60_000;

interface Response {
  readonly attemptId: string;
  readonly command: ClaimCommand['type'];
  readonly result: ClaimResult;
}

type SendEnd = 'started' | 'nothing' | 'maybe' | 'answered';

interface Send {
  readonly attemptId: string;
  readonly at: number;
  readonly end: SendEnd;
}

export interface ClaimsState {
  machine: MachineState;
  now: number;
  jumps: number;
  readonly attempts: Map<string, ClaimedCallState>;
  readonly requests: Map<string, ClaimCommand>;
  readonly delivered: Set<string>;
  readonly responses: Map<string, Response>;
  /** Every send of every attempt. */
  readonly sends: Send[];
  /** What each attempt's caller was told. */
  readonly told: Map<string, string>;
}

/** Copies what steps change in place; machine and calls are copied by the steps that change them. */
function copy(state: ClaimsState): ClaimsState {
  return {
    ...state,
    attempts: new Map(state.attempts),
    requests: new Map(state.requests),
    delivered: new Set(state.delivered),
    responses: new Map(state.responses),
    sends: [...state.sends],
    told: new Map(state.told),
  };
}

function copyCall(state: ClaimsState, attemptId: string): ClaimedCallState {
  const call = state.attempts.get(attemptId);
  assert(call !== undefined);
  const copied = { ...call };
  state.attempts.set(attemptId, copied);
  return copied;
}

function requestKey(command: ClaimCommand): string {
  const outcome = command.type === 'settleClaim' ? command.outcome : '';
  return `${command.attemptId}:${command.type}${outcome}`;
}

function answerOf(attemptId: string): StoredAnswer {
  return { status: 200, headers: { attempt: attemptId }, body: new Uint8Array(1) };
}

function carryOut(
  state: ClaimsState,
  attemptId: string,
  effects: readonly ClaimedCallEffect[],
  bounds: ClaimsBounds,
): void {
  effects.forEach((effect) => {
    if (effect.type === 'propose') state.requests.set(requestKey(effect.command), effect.command);
    if (effect.type === 'sendCall') {
      state.sends.push({ attemptId, at: state.now, end: 'started' });
    }
    if (effect.type === 'refuse') state.told.set(attemptId, `ran: ${effect.ran}`);
    if (effect.type === 'answer') {
      const from = effect.answer.headers.attempt;
      state.told.set(attemptId, `${effect.replayed ? 'replay' : 'answer'} of ${from}`);
    }
    if (effect.type === 'tryElsewhere') tryElsewhere(state, attemptId, bounds);
    if (effect.type === 'finished') forgetResponses(state, attemptId);
  });
}

/** An entry drops a finished attempt, so that late responses reach nobody. */
function forgetResponses(state: ClaimsState, attemptId: string): void {
  for (const [key, response] of state.responses) {
    if (response.attemptId === attemptId) state.responses.delete(key);
  }
}

function startAttempt(
  state: ClaimsState,
  caller: number,
  attempt: number,
  bounds: ClaimsBounds,
): void {
  const attemptId = `${caller}.${attempt}`;
  const digest = bounds.callers[caller] ?? '';
  const intent = { workspace: 'laden', key: 'offer-1', digest, holder: `entry-${caller}` };
  const { call, effects } = startClaimedCall(intent, attemptId, state.now, EXPIRES_AFTER);
  state.attempts.set(attemptId, call);
  carryOut(state, attemptId, effects, bounds);
}

function tryElsewhere(state: ClaimsState, attemptId: string, bounds: ClaimsBounds): void {
  const [caller, attempt] = attemptId.split('.').map(Number) as [number, number];
  if (attempt < bounds.attemptsPerCaller) {
    state.told.set(attemptId, 'tried elsewhere');
    startAttempt(state, caller, attempt + 1, bounds);
  } else state.told.set(attemptId, 'ran: no');
}

function describeResult(result: ClaimResult): string {
  const answer = result.type === 'claimDone' ? result.answer?.headers.attempt : '';
  return `${result.type}${answer ?? ''}`;
}

/** Makes the model; `parts` replaces a real function by a mutation of it. */
export function makeClaimsModel(
  bounds: ClaimsBounds,
  parts: ClaimsParts = realClaimsParts,
): Model<ClaimsState> {
  function change(
    state: ClaimsState,
    label: string,
    take: (next: ClaimsState) => void,
  ): Step<ClaimsState> {
    return {
      label,
      take: () => {
        const next = copy(state);
        take(next);
        return next;
      },
    };
  }

  function event(
    state: ClaimsState,
    attemptId: string,
    occurred: ClaimedCallEvent,
    label: string = occurred.type,
  ): Step<ClaimsState> {
    return change(state, `${attemptId} ${label}`, (next) => {
      carryOut(next, attemptId, parts.reduce(copyCall(next, attemptId), occurred), bounds);
    });
  }

  function deliver(state: ClaimsState, key: string, command: ClaimCommand): Step<ClaimsState> {
    return change(state, `log runs ${key}`, (next) => {
      next.machine = restoreSnapshot(takeSnapshot(state.machine));
      const result = parts.apply(next.machine, { at: next.now, command }) as ClaimResult;
      const { attemptId } = command;
      next.delivered.add(key);
      if (next.attempts.get(attemptId)?.phase === 'finished') return;
      next.responses.set(`${key}=${describeResult(result)}`, {
        attemptId,
        command: command.type,
        result,
      });
    });
  }

  /** The store says that nothing was and will be done; true only of a copy that is taken back. */
  function refuse(state: ClaimsState, key: string, call: ClaimedCallState): Step<ClaimsState>[] {
    if (state.delivered.has(key) || call.sendCount > 1 || call.phase !== 'opening') return [];
    const step = change(state, `store refuses ${key}`, (next) => {
      const own = copyCall(next, call.attemptId);
      next.requests.delete(key);
      const failed = { type: 'storeFailed', command: 'openClaim', nothingDone: true } as const;
      const effects = parts.reduce(own, { ...failed, now: next.now });
      carryOut(next, call.attemptId, effects, bounds);
    });
    return [step];
  }

  function attemptSteps(state: ClaimsState, call: ClaimedCallState): Step<ClaimsState>[] {
    const { attemptId } = call;
    const { now } = state;
    const steps: Step<ClaimsState>[] = [];
    const mayResend = call.pending !== undefined && call.sendCount < bounds.mostTries;
    const mayGiveUp = call.pending?.type === 'openClaim';
    if (mayResend || mayGiveUp) steps.push(event(state, attemptId, { type: 'resendDue', now }));
    if (!call.resolved) steps.push(event(state, attemptId, { type: 'deadlineReached' }));
    return steps;
  }

  function sendSteps(state: ClaimsState): Step<ClaimsState>[] {
    return state.sends.flatMap(({ attemptId, at, end }, position) => {
      if (end !== 'started') return [];
      const ends: [SendEnd, ClaimedCallEvent][] = [
        ['nothing', { type: 'sendFailed', beforeFirstByte: true }],
        ['maybe', { type: 'sendFailed', beforeFirstByte: false }],
        ['answered', { type: 'answered', answer: answerOf(attemptId) }],
      ];
      return ends.map(([reached, occurred]) =>
        change(state, `${attemptId} send ends: ${reached}`, (next) => {
          next.sends[position] = { attemptId, at, end: reached };
          carryOut(next, attemptId, parts.reduce(copyCall(next, attemptId), occurred), bounds);
        }),
      );
    });
  }

  function requestSteps(state: ClaimsState): Step<ClaimsState>[] {
    return [...state.requests].flatMap(([key, command]) => {
      const call = state.attempts.get(command.attemptId);
      return [
        deliver(state, key, command),
        ...(call === undefined ? [] : refuse(state, key, call)),
      ];
    });
  }

  function responseSteps(state: ClaimsState): Step<ClaimsState>[] {
    return [...state.responses].map(([key, response]) => {
      const { attemptId, command, result } = response;
      const occurred = { type: 'claimResult', now: state.now, command, result } as const;
      return event(state, attemptId, occurred, `gets ${key}`);
    });
  }

  function startSteps(state: ClaimsState): Step<ClaimsState>[] {
    return bounds.callers.flatMap((_digest, caller) => {
      if (state.attempts.has(`${caller}.1`)) return [];
      const label = `caller ${caller} asks`;
      return [change(state, label, (next) => startAttempt(next, caller, 1, bounds))];
    });
  }

  function jumpSteps(state: ClaimsState): Step<ClaimsState>[] {
    if (state.jumps >= bounds.jumps) return [];
    const step = change(state, `time jumps past ${bounds.jumpsPast ?? 'expiry'}`, (next) => {
      next.jumps += 1;
      next.now += EXPIRES_AFTER + 1;
      if (bounds.jumpsPast !== 'retention') return;
      next.now += CLAIM_RETENTION_MILLISECONDS;
      // No request is on its way for so long; a paused entry may still find old responses.
      next.requests.clear();
    });
    return [step];
  }

  return {
    initial: {
      machine: new MachineState(),
      now: 1,
      jumps: 0,
      attempts: new Map(),
      requests: new Map(),
      delivered: new Set(),
      responses: new Map(),
      sends: [],
      told: new Map(),
    },
    steps: (state) => [
      ...startSteps(state),
      ...requestSteps(state),
      ...responseSteps(state),
      ...[...state.attempts.values()].flatMap((call) => attemptSteps(state, call)),
      ...sendSteps(state),
      ...jumpSteps(state),
    ],
    key: keyOf,
    check,
  };
}

/** That a request was run matters only while the store could still refuse it. */
function mayBeRefused(state: ClaimsState, key: string): boolean {
  const call = state.attempts.get(state.requests.get(key)?.attemptId ?? '');
  return call?.phase === 'opening' && call.sendCount === 1;
}

function keyOf(state: ClaimsState): string {
  const calls = [...state.attempts.values()].map((call) =>
    [
      call.attemptId,
      call.startedAt,
      call.phase,
      call.pending?.type,
      call.sendCount,
      call.heldByOtherRequest,
      call.resolved,
      call.afterRelease,
      state.told.get(call.attemptId)?.replace('ran: unknown', ''),
    ].join(),
  );
  const claims = [...state.machine.claims].map(([name, claim]) =>
    [name, claim.attemptId, claim.phase, claim.expiresAt, claim.digest].join(),
  );
  return [
    state.now,
    calls.sort().join(';'),
    claims.join(';'),
    [...state.machine.answers.keys()].join(),
    [...state.machine.barredAttempts.keys()].sort().join(),
    [...state.requests.keys()].sort().join(),
    [...state.delivered].filter((key) => mayBeRefused(state, key)).join(),
    [...state.responses.keys()].sort().join(),
    state.sends.map((send) => `${send.attemptId}${send.at}${send.end}`).join(),
  ].join('|');
}

/** The promises, in every state. */
function check(state: ClaimsState): string | undefined {
  const reaching = state.sends.filter((send) => send.end !== 'nothing');
  const isTwice = reaching.some(({ at }, position) =>
    reaching.slice(position + 1).some((later) => later.at - at < CLAIM_RETENTION_MILLISECONDS),
  );
  if (isTwice) return 'two sends of one key can have reached a backend server';
  for (const [attemptId, told] of state.told) {
    const reason = checkTold(state, attemptId, told);
    if (reason !== undefined) return reason;
  }
  return undefined;
}

function checkTold(state: ClaimsState, attemptId: string, told: string): string | undefined {
  const answered = state.sends.some(
    (send) => send.end === 'answered' && told.endsWith(send.attemptId),
  );
  if (told.startsWith('replay') && !answered) return 'an answer was replayed that nobody gave';
  if (told !== 'ran: no' && told !== 'tried elsewhere') return undefined;
  const sent = state.sends.some((send) => send.attemptId === attemptId && send.end !== 'nothing');
  if (sent && told === 'ran: no') return 'an attempt whose caller was told `ran: no` was sent';
  const isFinished = state.attempts.get(attemptId)?.phase === 'finished';
  const holds = [...state.machine.claims.values()].some(
    (claim) => claim.attemptId === attemptId && state.now < claim.expiresAt,
  );
  if (isFinished && holds) return 'an attempt that was given up holds the claim against resends';
  return undefined;
}

/**
 * The state machine of one attempt at a claimed call. Together with the log it guarantees that the
 * call is sent at most once, that `ran: no` is reported only for a call that was not sent and never
 * will be, and that an attempt that failed unsent does not block a resend by the caller.
 */
import {
  LARGEST_STORED_ANSWER_BYTES,
  type ErrorKind,
  type Milliseconds,
  type MonotonicMilliseconds,
  type Ran,
  type StoredAnswer,
} from '@hornbeampond/schema';
import type {
  AfterRelease,
  ClaimCommand,
  ClaimedCall,
  ClaimedCallEffect,
  ClaimedCallEvent,
  ClaimIntent,
} from './ClaimedCall.js';

/** How often `openClaim` is sent before the attempt fails; leaves time to elect a new leader. */
export const MAX_OPEN_TRIES = 3;

/** Doubles with each resend. */
export const FIRST_RESEND_DELAY_MILLISECONDS: Milliseconds = 400;

/** Bounds of the delay before the log is asked again for the outcome of another attempt. */
export const MIN_OUTCOME_POLL_DELAY_MILLISECONDS: Milliseconds = 50;
export const MAX_OUTCOME_POLL_DELAY_MILLISECONDS: Milliseconds = 1000;

export const MAX_RESEND_DELAY_MILLISECONDS: Milliseconds = 5000;

/** How long after the expiry of the claim an outcome is still resent to the log. */
export const SETTLE_RESEND_AFTER_EXPIRY_MILLISECONDS: Milliseconds = 10 * 60 * 1000;

type EventOf<Type extends ClaimedCallEvent['type']> = Extract<ClaimedCallEvent, { type: Type }>;

/** Creates the state of an attempt, with the effects that request its claim. */
export function startClaimedCall(
  intent: ClaimIntent,
  attemptId: string,
  now: MonotonicMilliseconds,
  expiresAfter: Milliseconds,
): { readonly call: ClaimedCall; readonly effects: ClaimedCallEffect[] } {
  const call: ClaimedCall = {
    intent,
    attemptId,
    startedAt: now,
    expiresAfter,
    phase: 'opening',
    pending: undefined,
    tries: 0,
    heldElsewhere: false,
    answered: false,
    afterRelease: 'nothing',
  };
  const effects = propose(call, { type: 'openClaim', ...intent, attemptId, expiresAfter });
  return { call, effects };
}

/** Applies one event to the attempt, changing `call` in place. */
export function reduceClaimedCall(call: ClaimedCall, event: ClaimedCallEvent): ClaimedCallEffect[] {
  switch (event.type) {
    case 'claimResult':
      return onResult(call, event);
    case 'storeFailed':
      return onStoreFailed(call, event);
    case 'resendDue':
      return onResendDue(call, event.now);
    case 'sendFailed':
      return onSendFailed(call, event.beforeFirstByte);
    case 'answered':
      return onAnswered(call, event);
    case 'deadlineReached':
      return onDeadline(call);
    default:
      return event satisfies never;
  }
}

function computeResendDelay(tries: number): Milliseconds {
  return Math.min(
    FIRST_RESEND_DELAY_MILLISECONDS * 2 ** (tries - 1),
    MAX_RESEND_DELAY_MILLISECONDS,
  );
}

function propose(call: ClaimedCall, command: ClaimCommand): ClaimedCallEffect[] {
  call.pending = command;
  call.tries = 1;
  return resend(call, command);
}

function resend(call: ClaimedCall, command: ClaimCommand): ClaimedCallEffect[] {
  return [
    { type: 'propose', command },
    { type: 'startResendTimer', after: computeResendDelay(call.tries) },
  ];
}

function finish(call: ClaimedCall): ClaimedCallEffect[] {
  call.phase = 'finished';
  call.pending = undefined;
  return [{ type: 'finished' }];
}

/** Fails the request unless the caller already has its final answer. */
function refuse(call: ClaimedCall, kind: ErrorKind, ran: Ran): ClaimedCallEffect[] {
  if (call.answered) return [];
  call.answered = true;
  return [{ type: 'refuse', kind, ran }];
}

/**
 * Releases the claim of a call that will never be sent. The release is resent until the log
 * acknowledges it, because a delayed `openClaim` could otherwise open the claim later.
 */
function release(call: ClaimedCall, afterRelease: AfterRelease): ClaimedCallEffect[] {
  const { attemptId } = call;
  const { workspace, key } = call.intent;
  call.phase = 'releasing';
  call.afterRelease = afterRelease;
  return propose(call, { type: 'releaseClaim', workspace, key, attemptId });
}

/**
 * Fails a call that was not sent, immediately: `ran: no` is known without the log, which may lack a
 * quorum for a long time. If another attempt was seen to hold the claim, the call may have run there.
 */
function refuseAndRelease(call: ClaimedCall, kind: ErrorKind): ClaimedCallEffect[] {
  const refusal = call.heldElsewhere
    ? refuse(call, 'claimRunning', 'unknown')
    : refuse(call, kind, 'no');
  return [...refusal, ...release(call, 'nothing')];
}

/**
 * Waits for the outcome of the attempt that holds the claim. That attempt answers its caller before
 * the outcome is in the log, so an immediate resend by the caller finds the claim still open. If it
 * were refused, the caller would never get the answer.
 */
function awaitOutcome(call: ClaimedCall, now: MonotonicMilliseconds): ClaimedCallEffect[] {
  call.heldElsewhere = true;
  call.tries = 0;
  const elapsed = now - call.startedAt;
  const after = Math.min(
    MAX_OUTCOME_POLL_DELAY_MILLISECONDS,
    Math.max(MIN_OUTCOME_POLL_DELAY_MILLISECONDS, elapsed / 2),
  );
  return [{ type: 'startResendTimer', after }];
}

function onResult(call: ClaimedCall, event: EventOf<'claimResult'>): ClaimedCallEffect[] {
  // Ignores a late or repeated result of a command that is no longer pending.
  if (call.pending?.type !== event.command) return [];
  if (call.phase === 'opening') return onOpenResult(call, event);
  if (call.phase === 'releasing') return onReleaseResult(call, event);
  return finish(call);
}

function onOpenResult(call: ClaimedCall, event: EventOf<'claimResult'>): ClaimedCallEffect[] {
  const { result, now } = event;
  switch (result.type) {
    case 'claimOpened':
      return onOpened(call, now);
    case 'claimDone':
      return [...replay(call, result.answer), ...finish(call)];
    case 'claimUnknown':
      return [...refuse(call, 'outcomeUnknown', 'unknown'), ...finish(call)];
    case 'claimRunning':
      return awaitOutcome(call, now);
    case 'claimKeyReused':
      return refuseAndRelease(call, 'idempotencyKeyReused');
    default:
      return refuseAndRelease(call, 'claimsUnavailable');
  }
}

/**
 * Sends the call unless the claim has expired meanwhile: the log then reports its outcome as unknown
 * and may later let another attempt open it.
 */
function onOpened(call: ClaimedCall, now: MonotonicMilliseconds): ClaimedCallEffect[] {
  if (now - call.startedAt >= call.expiresAfter) return refuseAndRelease(call, 'claimsUnavailable');
  call.phase = 'sending';
  call.pending = undefined;
  call.heldElsewhere = false;
  return [{ type: 'sendCall', attemptId: call.attemptId }];
}

function replay(call: ClaimedCall, answer: StoredAnswer | undefined): ClaimedCallEffect[] {
  if (answer?.body === undefined) return refuse(call, 'answerTooLargeToReplay', 'unknown');
  if (call.answered) return [];
  call.answered = true;
  return [{ type: 'answer', answer, replayed: true }];
}

function onReleaseResult(call: ClaimedCall, event: EventOf<'claimResult'>): ClaimedCallEffect[] {
  if (event.result.type !== 'claimReleased') {
    return [...refuse(call, 'outcomeUnknown', 'unknown'), ...finish(call)];
  }
  const { afterRelease } = call;
  if (afterRelease === 'tryElsewhere' && !call.answered) {
    call.answered = true;
    return [{ type: 'tryElsewhere' }, ...finish(call)];
  }
  return finish(call);
}

/**
 * Skips the release only if the store guarantees that the open is never applied and no earlier copy
 * of it was sent, since that copy could still be applied.
 */
function onStoreFailed(call: ClaimedCall, event: EventOf<'storeFailed'>): ClaimedCallEffect[] {
  const isFirstOpen = call.phase === 'opening' && call.tries === 1 && !call.heldElsewhere;
  if (!event.nothingDone || !isFirstOpen || event.command !== 'openClaim') return [];
  return [...refuse(call, 'claimsUnavailable', 'no'), ...finish(call)];
}

function onResendDue(call: ClaimedCall, now: MonotonicMilliseconds): ClaimedCallEffect[] {
  const { pending } = call;
  if (pending === undefined) return [];
  if (pending.type === 'openClaim' && call.tries >= MAX_OPEN_TRIES) {
    return refuseAndRelease(call, 'claimsUnavailable');
  }
  if (now - call.startedAt >= getMaxResendDuration(call)) {
    return [...refuse(call, 'outcomeUnknown', 'unknown'), ...finish(call)];
  }
  call.tries += 1;
  return resend(call, pending);
}

/**
 * How long after the start a command is still resent. A release is resent until it is acknowledged,
 * since a delayed open could otherwise be applied later and block resends by the caller.
 */
function getMaxResendDuration(call: ClaimedCall): Milliseconds {
  if (call.phase === 'releasing') return Number.POSITIVE_INFINITY;
  if (call.phase === 'settling') return call.expiresAfter + SETTLE_RESEND_AFTER_EXPIRY_MILLISECONDS;
  return call.expiresAfter;
}

/** Allows another backend server only if provably no byte was sent. */
function onSendFailed(call: ClaimedCall, beforeFirstByte: boolean): ClaimedCallEffect[] {
  if (call.phase !== 'sending') return [];
  if (beforeFirstByte) return release(call, call.answered ? 'nothing' : 'tryElsewhere');
  return [...refuse(call, 'outcomeUnknown', 'unknown'), ...settle(call, { outcome: 'unknown' })];
}

function onAnswered(call: ClaimedCall, { answer }: EventOf<'answered'>): ClaimedCallEffect[] {
  if (call.phase !== 'sending') return [];
  const isLate = call.answered;
  call.answered = true;
  const settling = settle(call, { outcome: 'done', answer: omitOversizedBody(answer) });
  return isLate ? settling : [{ type: 'answer', answer, replayed: false }, ...settling];
}

/** Drops a body too large for the log; resends are then told that the call ran. */
function omitOversizedBody(answer: StoredAnswer): StoredAnswer {
  const bytes = answer.body?.byteLength ?? 0;
  if (bytes <= LARGEST_STORED_ANSWER_BYTES) return answer;
  return { status: answer.status, headers: answer.headers };
}

function settle(
  call: ClaimedCall,
  settlement: Pick<Extract<ClaimCommand, { type: 'settleClaim' }>, 'outcome' | 'answer'>,
): ClaimedCallEffect[] {
  const { attemptId } = call;
  const { workspace, key } = call.intent;
  call.phase = 'settling';
  return propose(call, { type: 'settleClaim', workspace, key, attemptId, ...settlement });
}

/**
 * Fails the request with `ran: unknown`, since no release is acknowledged yet. An attempt that was
 * sent keeps running, and its late answer is stored for a resend by the caller.
 */
function onDeadline(call: ClaimedCall): ClaimedCallEffect[] {
  const refusal = refuse(call, 'deadlineExceeded', 'unknown');
  if (call.phase === 'opening') return [...refusal, ...release(call, 'nothing')];
  return refusal;
}

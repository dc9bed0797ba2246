/**
 * The state machine of a claim: one request for a call that may run at most once. Together with the
 * log it guarantees that the call is sent at most once, that `ran: no` is reported only if this
 * request did not and will not send it, and that a request that failed unsent does not block the
 * caller from sending the call again.
 */
import {
  MAX_STORED_ANSWER_BYTES,
  type ErrorKind,
  type Milliseconds,
  type MonotonicMilliseconds,
  type RanStatus,
  type StoredAnswer,
} from '@hornbeampond/schema';
import type {
  AfterRelease,
  ClaimCommand,
  ClaimedCallState,
  ClaimedCallEffect,
  ClaimedCallEvent,
  ClaimSubject,
} from './ClaimedCallState.js';

/**
 * Times that `openClaim` is sent before the request fails. With the delays below this takes 2.8 s, in
 * which the stores can elect a new leader.
 */
export const MAX_OPEN_TRIES = 3;

/** Doubles with each resend. */
export const FIRST_RESEND_DELAY_MILLISECONDS: Milliseconds = 400;

/** Bounds of the delay before the log is asked again for the outcome of another request. */
export const MIN_OUTCOME_POLL_DELAY_MILLISECONDS: Milliseconds = 50;
export const MAX_OUTCOME_POLL_DELAY_MILLISECONDS: Milliseconds = 1000;

export const MAX_RESEND_DELAY_MILLISECONDS: Milliseconds = 5000;

/** How long after the expiry of the claim an outcome is still resent to the log. */
export const SETTLE_RESEND_AFTER_EXPIRY_MILLISECONDS: Milliseconds = 10 * 60 * 1000;

type EventOf<Type extends ClaimedCallEvent['type']> = Extract<ClaimedCallEvent, { type: Type }>;

/** Creates the state of a claim, with the effects that ask the log for it. */
export function startClaimedCall(
  intent: ClaimSubject,
  attemptId: string,
  now: MonotonicMilliseconds,
  expiresAfter: Milliseconds,
): { readonly call: ClaimedCallState; readonly effects: ClaimedCallEffect[] } {
  const call: ClaimedCallState = {
    intent,
    attemptId,
    startedAt: now,
    expiresAfter,
    phase: 'opening',
    pending: undefined,
    sendCount: 0,
    heldByOtherRequest: false,
    resolved: false,
    afterRelease: 'nothing',
  };
  const effects = propose(call, { type: 'openClaim', ...intent, attemptId, expiresAfter });
  return { call, effects };
}

/** Applies one event to the claim, changing `call` in place. */
export function reduceClaimedCall(
  call: ClaimedCallState,
  event: ClaimedCallEvent,
): ClaimedCallEffect[] {
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

function propose(call: ClaimedCallState, command: ClaimCommand): ClaimedCallEffect[] {
  call.pending = command;
  call.sendCount = 1;
  return resend(call, command);
}

function resend(call: ClaimedCallState, command: ClaimCommand): ClaimedCallEffect[] {
  return [
    { type: 'propose', command },
    { type: 'startResendTimer', after: computeResendDelay(call.sendCount) },
  ];
}

function finish(call: ClaimedCallState): ClaimedCallEffect[] {
  call.phase = 'finished';
  call.pending = undefined;
  return [{ type: 'finished' }];
}

/** Fails the request unless the caller already has its final answer. */
function refuse(call: ClaimedCallState, kind: ErrorKind, ran: RanStatus): ClaimedCallEffect[] {
  if (call.resolved) return [];
  call.resolved = true;
  return [{ type: 'refuse', kind, ran }];
}

/**
 * Releases the claim of a request that will never send the call. The release is resent until the
 * log acknowledges it, because a delayed `openClaim` could otherwise open the claim later.
 */
function release(call: ClaimedCallState, afterRelease: AfterRelease): ClaimedCallEffect[] {
  const { attemptId } = call;
  const { workspace, key } = call.intent;
  call.phase = 'releasing';
  call.afterRelease = afterRelease;
  return propose(call, { type: 'releaseClaim', workspace, key, attemptId });
}

/**
 * Fails a request that has not sent the call, without waiting for the log, which may lack a quorum
 * for a long time. If another request held the claim, the call may have run for that one.
 */
function refuseAndRelease(call: ClaimedCallState, kind: ErrorKind): ClaimedCallEffect[] {
  const refusal = call.heldByOtherRequest
    ? refuse(call, 'claimRunning', 'unknown')
    : refuse(call, kind, 'no');
  return [...refusal, ...release(call, 'nothing')];
}

/**
 * Waits for the outcome of the request that holds the claim. That request is answered before its
 * outcome is in the log, so a caller that sends the call again immediately still finds the claim
 * open. Refusing it then would keep an existing answer from the caller.
 */
function awaitOutcome(call: ClaimedCallState, now: MonotonicMilliseconds): ClaimedCallEffect[] {
  call.heldByOtherRequest = true;
  call.sendCount = 0;
  const elapsed = now - call.startedAt;
  const after = Math.min(
    MAX_OUTCOME_POLL_DELAY_MILLISECONDS,
    Math.max(MIN_OUTCOME_POLL_DELAY_MILLISECONDS, elapsed / 2),
  );
  return [{ type: 'startResendTimer', after }];
}

function onResult(call: ClaimedCallState, event: EventOf<'claimResult'>): ClaimedCallEffect[] {
  // Ignores a late or repeated result of a command that is no longer pending.
  if (call.pending?.type !== event.command) return [];
  if (call.phase === 'opening') return onOpenResult(call, event);
  if (call.phase === 'releasing') return onReleaseResult(call, event);
  return finish(call);
}

function onOpenResult(call: ClaimedCallState, event: EventOf<'claimResult'>): ClaimedCallEffect[] {
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
 * Sends the call, unless the claim has expired: the log reports an unknown outcome for an expired
 * claim, and later lets another request open it.
 */
function onOpened(call: ClaimedCallState, now: MonotonicMilliseconds): ClaimedCallEffect[] {
  if (now - call.startedAt >= call.expiresAfter) return refuseAndRelease(call, 'claimsUnavailable');
  call.phase = 'sending';
  call.pending = undefined;
  call.heldByOtherRequest = false;
  return [{ type: 'sendCall', attemptId: call.attemptId }];
}

function replay(call: ClaimedCallState, answer: StoredAnswer | undefined): ClaimedCallEffect[] {
  if (answer?.body === undefined) return refuse(call, 'answerTooLargeToReplay', 'unknown');
  if (call.resolved) return [];
  call.resolved = true;
  return [{ type: 'answer', answer, replayed: true }];
}

function onReleaseResult(
  call: ClaimedCallState,
  event: EventOf<'claimResult'>,
): ClaimedCallEffect[] {
  if (event.result.type !== 'claimReleased') {
    return [...refuse(call, 'outcomeUnknown', 'unknown'), ...finish(call)];
  }
  const { afterRelease } = call;
  if (afterRelease === 'tryElsewhere' && !call.resolved) {
    call.resolved = true;
    return [{ type: 'tryElsewhere' }, ...finish(call)];
  }
  return finish(call);
}

/**
 * Skips the release only if the store guarantees that this `openClaim` is never applied, and if no
 * earlier copy was sent, which could still be applied.
 */
function onStoreFailed(call: ClaimedCallState, event: EventOf<'storeFailed'>): ClaimedCallEffect[] {
  const isFirstOpen = call.phase === 'opening' && call.sendCount === 1 && !call.heldByOtherRequest;
  if (!event.nothingDone || !isFirstOpen || event.command !== 'openClaim') return [];
  return [...refuse(call, 'claimsUnavailable', 'no'), ...finish(call)];
}

function onResendDue(call: ClaimedCallState, now: MonotonicMilliseconds): ClaimedCallEffect[] {
  const { pending } = call;
  if (pending === undefined) return [];
  if (pending.type === 'openClaim' && call.sendCount >= MAX_OPEN_TRIES) {
    return refuseAndRelease(call, 'claimsUnavailable');
  }
  if (now - call.startedAt >= getMaxResendDuration(call)) {
    return [...refuse(call, 'outcomeUnknown', 'unknown'), ...finish(call)];
  }
  call.sendCount += 1;
  return resend(call, pending);
}

/**
 * How long after the start a command is still resent. A release is resent until it is acknowledged,
 * since a delayed `openClaim` would otherwise block the caller from sending the call again.
 */
function getMaxResendDuration(call: ClaimedCallState): Milliseconds {
  if (call.phase === 'releasing') return Number.POSITIVE_INFINITY;
  if (call.phase === 'settling') return call.expiresAfter + SETTLE_RESEND_AFTER_EXPIRY_MILLISECONDS;
  return call.expiresAfter;
}

/** Allows another backend server only if provably no byte was sent. */
function onSendFailed(call: ClaimedCallState, beforeFirstByte: boolean): ClaimedCallEffect[] {
  if (call.phase !== 'sending') return [];
  if (beforeFirstByte) return release(call, call.resolved ? 'nothing' : 'tryElsewhere');
  return [...refuse(call, 'outcomeUnknown', 'unknown'), ...settle(call, { outcome: 'unknown' })];
}

function onAnswered(call: ClaimedCallState, { answer }: EventOf<'answered'>): ClaimedCallEffect[] {
  if (call.phase !== 'sending') return [];
  const isLate = call.resolved;
  call.resolved = true;
  const settling = settle(call, { outcome: 'done', answer: omitOversizedBody(answer) });
  return isLate ? settling : [{ type: 'answer', answer, replayed: false }, ...settling];
}

/** Drops a body too large for the log. Later requests are told only that the call ran. */
function omitOversizedBody(answer: StoredAnswer): StoredAnswer {
  const bytes = answer.body?.byteLength ?? 0;
  if (bytes <= MAX_STORED_ANSWER_BYTES) return answer;
  return { status: answer.status, headers: answer.headers };
}

function settle(
  call: ClaimedCallState,
  settlement: Pick<Extract<ClaimCommand, { type: 'settleClaim' }>, 'outcome' | 'answer'>,
): ClaimedCallEffect[] {
  const { attemptId } = call;
  const { workspace, key } = call.intent;
  call.phase = 'settling';
  return propose(call, { type: 'settleClaim', workspace, key, attemptId, ...settlement });
}

/**
 * Fails the request with `ran: unknown`, since no release is acknowledged yet. A call that was sent
 * keeps running, and its late answer is stored in case the caller sends the call again.
 */
function onDeadline(call: ClaimedCallState): ClaimedCallEffect[] {
  const refusal = refuse(call, 'deadlineExceeded', 'unknown');
  if (call.phase === 'opening') return [...refusal, ...release(call, 'nothing')];
  return refusal;
}

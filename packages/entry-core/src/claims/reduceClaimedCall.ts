/**
 * The sender's side of a claim. It keeps three promises together with the log: a call is sent at
 * most once, `ran: no` is only said of a call that was not sent and cannot be, and an attempt given
 * up never stands in the way of the caller's resend.
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

/**
 * Copies of `openClaim` that are sent before the attempt is given up: 2.8 seconds with the waits
 * below, in which the stores can elect another leader.
 */
export const MAX_OPEN_TRIES = 3;

/** Wait before the first resend; it doubles with each. */
export const FIRST_RESEND_DELAY_MILLISECONDS: Milliseconds = 400;

/** Waits before the log is asked again for the outcome of another attempt's run. */
export const MIN_OUTCOME_POLL_DELAY_MILLISECONDS: Milliseconds = 50;
export const MAX_OUTCOME_POLL_DELAY_MILLISECONDS: Milliseconds = 1000;

/** Longest wait between resends. */
export const MAX_RESEND_DELAY_MILLISECONDS: Milliseconds = 5000;

/** How long after its claim's expiry a settlement is still resent, so that a resend learns it. */
export const SETTLE_RESEND_AFTER_EXPIRY_MILLISECONDS: Milliseconds = 10 * 60 * 1000;

type EventOf<Type extends ClaimedCallEvent['type']> = Extract<ClaimedCallEvent, { type: Type }>;

/** Starts an attempt: the first effect asks the log for the claim. */
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

/** Decides what one event means for the attempt; changes `call` in place. */
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

function resendDelay(tries: number): Milliseconds {
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
    { type: 'startResendTimer', after: resendDelay(call.tries) },
  ];
}

function finish(call: ClaimedCall): ClaimedCallEffect[] {
  call.phase = 'finished';
  call.pending = undefined;
  return [{ type: 'finished' }];
}

/** Refuses unless the caller has its answer already. */
function refuse(call: ClaimedCall, kind: ErrorKind, ran: Ran): ClaimedCallEffect[] {
  if (call.answered) return [];
  call.answered = true;
  return [{ type: 'refuse', kind, ran }];
}

/**
 * Gives the attempt up for good. From here on no event makes it send, and the log is told until it
 * acknowledges, because an `openClaim` still on its way would otherwise open the claim later.
 */
function release(call: ClaimedCall, afterRelease: AfterRelease): ClaimedCallEffect[] {
  const { attemptId } = call;
  const { workspace, key } = call.intent;
  call.phase = 'releasing';
  call.afterRelease = afterRelease;
  return propose(call, { type: 'releaseClaim', workspace, key, attemptId });
}

/**
 * Gives up an attempt that was not sent. The caller is told at once: `ran: no` is true by the sender
 * alone, and to wait for the log would hold the answer back for as long as no quorum answers. Where
 * another attempt was seen to hold the claim, the caller's call may have run all the same.
 */
function refuseAndRelease(call: ClaimedCall, kind: ErrorKind): ClaimedCallEffect[] {
  const refusal = call.heldElsewhere
    ? refuse(call, 'claimRunning', 'unknown')
    : refuse(call, kind, 'no');
  return [...refusal, ...release(call, 'nothing')];
}

/**
 * Waits for the outcome of the attempt that holds the claim, half as long again as it has waited so
 * far. The holder answers its caller before the log has the outcome, so a caller that sends its call
 * again at once finds the claim open; refused then, it would never learn an answer that is there.
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
  // A late or repeated result of a command that is done with decides nothing any more.
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
 * Sends, unless the grant comes so late that the claim has expired: others were told `unknown`
 * by then, and past its retention the log would let another attempt open it.
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
 * Only the store's word that nothing was and will be done spares the release. If an earlier copy of
 * the same open was sent, it may still be run.
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
  if (now - call.startedAt >= resendDuration(call)) {
    return [...refuse(call, 'outcomeUnknown', 'unknown'), ...finish(call)];
  }
  call.tries += 1;
  return resend(call, pending);
}

/**
 * How long a command is sent again. A release goes on until it is acknowledged: its caller was told
 * `ran: no`, and a copy of the open that the log runs late would stand against the caller's resends.
 */
function resendDuration(call: ClaimedCall): Milliseconds {
  if (call.phase === 'releasing') return Number.POSITIVE_INFINITY;
  if (call.phase === 'settling') return call.expiresAfter + SETTLE_RESEND_AFTER_EXPIRY_MILLISECONDS;
  return call.expiresAfter;
}

/** Only a failure provably before the first byte lets the call be tried elsewhere. */
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

/** Leaves a body out that the log would not keep; resends are then told that the call ran. */
function omitOversizedBody(answer: StoredAnswer): StoredAnswer {
  const bytes = answer.body?.byteLength ?? 0;
  if (bytes <= LARGEST_STORED_ANSWER_BYTES) return answer;
  return { status: answer.status, headers: answer.headers };
}

function settle(
  call: ClaimedCall,
  end: Pick<Extract<ClaimCommand, { type: 'settleClaim' }>, 'outcome' | 'answer'>,
): ClaimedCallEffect[] {
  const { attemptId } = call;
  const { workspace, key } = call.intent;
  call.phase = 'settling';
  return propose(call, { type: 'settleClaim', workspace, key, attemptId, ...end });
}

/**
 * The caller is answered now, `unknown` since no release is acknowledged yet. An attempt that was
 * sent is not recalled: its late answer is still stored for the caller's resend.
 */
function onDeadline(call: ClaimedCall): ClaimedCallEffect[] {
  const refusal = refuse(call, 'deadlineExceeded', 'unknown');
  if (call.phase === 'opening') return [...refusal, ...release(call, 'nothing')];
  return refusal;
}

/**
 * Decides whether a request whose attempt failed is tried again, and when. Each refusal is counted
 * by its reason and ends the request at once.
 */
import { isClaimed } from '@hornbeampond/schema';
import type {
  ErrorKind,
  Milliseconds,
  MonotonicMilliseconds,
  RecomputeReason,
  RetryReason,
  RetryRefusalReason,
} from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { failRequest } from '../requests/endRequest.js';
import { determineRan } from '../requests/determineRan.js';
import type { RequestState } from '../requests/RequestState.js';
import { drawBackOff } from './drawBackOff.js';
import { spendRetry } from './retryBudget.js';
import { startAttempt } from './startAttempt.js';

/** When to come back after a retry was refused for want of budget. */
const REFUSED_RETRY_AFTER_MILLISECONDS = 1000;

/** Why a request needs another attempt. */
export interface RetryCause {
  readonly reason: RetryReason;
  /** Where the attempt failed. */
  readonly instance: string;
  /** True if the retry needs no budget and no wait: see `isFreeRecovery`. */
  readonly exemptFromBudget: boolean;
  /** What the backend server asked to wait. */
  readonly retryAfter?: Milliseconds;
  /** Set if tokens were computed and are lost. */
  readonly recompute?: RecomputeReason;
}

function refuseRetry(
  state: EntryState,
  accepted: RequestState,
  reason: RetryRefusalReason,
  kind: ErrorKind,
  detail: string,
): EntryEffect[] {
  return [
    { type: 'count', metric: 'retriesRefused', label: reason },
    ...failRequest(state, accepted, kind, detail, {
      ran: determineRan(accepted),
      retryAfterMilliseconds: REFUSED_RETRY_AFTER_MILLISECONDS,
    }),
  ];
}

export function failInterruptedAnswer(state: EntryState, accepted: RequestState): EntryEffect[] {
  const detail = 'The backend server was lost in the middle of the answer';
  return refuseRetry(state, accepted, 'answerStarted', 'answerCut', detail);
}

function recordRecompute(accepted: RequestState, cause: RetryCause): void {
  if (cause.recompute === undefined) return;
  const tokens = accepted.request.promptTokens + accepted.tokens;
  accepted.recompute = { reason: cause.recompute, tokens };
}

export function retryRequest(
  state: EntryState,
  accepted: RequestState,
  cause: RetryCause,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  if (!accepted.route.idempotent && accepted.maybeSent === true) {
    const detail = 'The call may have run and is not sent again';
    const kind = isClaimed(accepted.route) ? 'outcomeUnknown' : 'backendServerFailed';
    return refuseRetry(state, accepted, 'notIdempotent', kind, detail);
  }
  if (accepted.attemptsStarted >= (accepted.route.mostAttempts ?? Infinity)) {
    const detail = `The route allows ${accepted.attemptsStarted} attempts`;
    return refuseRetry(state, accepted, 'attemptsUsedUp', 'backendServerFailed', detail);
  }
  const backOff = cause.exemptFromBudget ? 0 : drawBackOff(state.retries, accepted.attemptsStarted);
  const delay = Math.max(backOff, cause.retryAfter ?? 0);
  if (now + delay >= accepted.wholeAnswerDueAt) {
    const detail = 'No attempt can be made before the deadline';
    return refuseRetry(state, accepted, 'deadlineTooNear', 'deadlineExceeded', detail);
  }
  if (!cause.exemptFromBudget && !spendRetry(state.retries, accepted.route.name, cause.instance)) {
    const detail = 'The backend server failed and the retry budget is spent';
    return refuseRetry(state, accepted, 'budgetSpent', 'backendServerFailed', detail);
  }
  recordRecompute(accepted, cause);
  const countEffect: EntryEffect = { type: 'count', metric: 'retries', label: cause.reason };
  if (delay === 0) return [countEffect, ...startAttempt(state, accepted, now)];
  const { requestId } = accepted.request;
  state.retries.waiting.set(requestId, { requestId, waitsFor: 'backOff', dueAt: now + delay });
  return [countEffect];
}

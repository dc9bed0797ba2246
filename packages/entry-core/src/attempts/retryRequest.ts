/**
 * Decides whether and when a request whose attempt failed is retried. If it is not, the refusal is
 * counted by its reason and the request fails immediately.
 */
import { requiresClaim } from '@hornbeampond/schema';
import type {
  ErrorKind,
  Milliseconds,
  MonotonicMilliseconds,
  RecomputeReason,
  RetryReason,
  RetryRefusalReason,
} from '@hornbeampond/schema';
import { hasUntriedServer } from '../backendServers/chooseBackendServer.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import { drawBackOff } from './drawBackOff.js';
import { spendRetry } from './retryBudget.js';
import { startAttempt } from './startAttempt.js';

/** Retry delay reported to the caller when a retry is refused. */
const REFUSED_RETRY_AFTER_MILLISECONDS = 1000;

/** Why a request needs another attempt. */
export interface RetryCause {
  readonly reason: RetryReason;
  /** Where the attempt failed. */
  readonly instance: string;
  /** True if the backend server has answered that it failed, and not that it is full. */
  readonly isServerFailure: boolean;
  /** True if the retry uses no budget and starts without a back-off; see `failAttempt`. */
  readonly exemptFromBudget: boolean;
  /** Set if computed tokens were lost and have to be recomputed. */
  readonly recompute?: RecomputeReason;
}

function refuseRetry(
  state: EntryState,
  requestState: RequestState,
  reason: RetryRefusalReason,
  kind: ErrorKind,
  detail: string,
): EntryEffect[] {
  return [
    { type: 'count', metric: 'retriesRefused', label: reason },
    ...failRequest(state, requestState, kind, detail, {
      retryAfterMilliseconds: REFUSED_RETRY_AFTER_MILLISECONDS,
    }),
  ];
}

export function failInterruptedAnswer(
  state: EntryState,
  requestState: RequestState,
): EntryEffect[] {
  const detail = 'The backend server failed after part of the answer was sent';
  return refuseRetry(state, requestState, 'answerStarted', 'answerCut', detail);
}

function recordRecompute(requestState: RequestState, cause: RetryCause): void {
  if (cause.recompute === undefined) return;
  const tokens = requestState.request.promptTokens + requestState.tokens;
  requestState.recompute = { reason: cause.recompute, tokens };
}

/**
 * Delay before the next attempt. The first retry of an idempotent request whose server has answered
 * that it failed goes to another server immediately: a single failure says nothing about that server's
 * load, and the budgets limit such retries. A back-off would use up time that the caller's target
 * leaves for the second attempt.
 */
function chooseDelay(
  state: EntryState,
  requestState: RequestState,
  { isServerFailure, exemptFromBudget }: RetryCause,
): Milliseconds {
  const { attemptsStarted, route } = requestState;
  const isFirstRetryOfFailure = isServerFailure && attemptsStarted === 1 && route.idempotent;
  if (exemptFromBudget || (isFirstRetryOfFailure && hasUntriedServer(state, requestState)))
    return 0;
  return drawBackOff(state.retries, attemptsStarted);
}

export function retryRequest(
  state: EntryState,
  requestState: RequestState,
  cause: RetryCause,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  if (!requestState.route.idempotent && requestState.maybeSent === true) {
    const detail = 'The call may have run and is not idempotent, so it is not retried';
    const kind = requiresClaim(requestState.route) ? 'outcomeUnknown' : 'backendServerFailed';
    return refuseRetry(state, requestState, 'notIdempotent', kind, detail);
  }
  if (requestState.attemptsStarted >= (requestState.route.mostAttempts ?? Infinity)) {
    const detail = `The route allows at most ${requestState.attemptsStarted} attempts`;
    return refuseRetry(state, requestState, 'attemptsUsedUp', 'backendServerFailed', detail);
  }
  const delay = chooseDelay(state, requestState, cause);
  if (now + delay >= requestState.wholeAnswerDueAt) {
    const detail = 'The deadline is too near for another attempt';
    return refuseRetry(state, requestState, 'deadlineTooNear', 'deadlineExceeded', detail);
  }
  const { entryCount } = state.limits.concurrencyLimiter;
  const source = { pool: requestState.pool.name, instance: cause.instance, entryCount };
  if (!cause.exemptFromBudget && !spendRetry(state.retries, source)) {
    const detail = 'The backend server failed and the retry budget is exhausted';
    return refuseRetry(state, requestState, 'budgetSpent', 'backendServerFailed', detail);
  }
  recordRecompute(requestState, cause);
  const countEffect: EntryEffect = { type: 'count', metric: 'retries', label: cause.reason };
  if (delay === 0) return [countEffect, ...startAttempt(state, requestState, now)];
  const { requestId } = requestState.request;
  state.retries.waiting.set(requestId, { requestId, waitsFor: 'backOff', dueAt: now + delay });
  return [countEffect];
}

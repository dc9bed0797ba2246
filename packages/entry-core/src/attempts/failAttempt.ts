/**
 * Handles the failure of an attempt: removes the attempt, then retries or fails its request.
 */
import type { RecomputeReason, RetryReason } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure, EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { recordLoss } from '../quarantine/recordLoss.js';
import { failRequest } from '../requests/endRequest.js';
import { determineRan } from '../requests/determineRan.js';
import type { RequestState } from '../requests/RequestState.js';
import type { AttemptState } from './AttemptState.js';
import { removeAttempt, removeCacheMove } from './releaseAttempts.js';
import { failInterruptedAnswer, retryRequest } from './retryRequest.js';

export type AttemptFailedEvent = Extract<EntryEvent, { type: 'attemptFailed' }>;

/** Lost streams that one request may recover from without using the retry budget. */
const MAX_RECOVERIES_EXEMPT_FROM_BUDGET = 2;

const retryReasonByFailure: Readonly<Record<AttemptFailure, RetryReason>> = {
  connectFailed: 'connectFailed',
  busy: 'backendServerBusy',
  serverError: 'backendServerError',
  clientError: 'backendServerError',
  connectionLost: 'backendServerLost',
  silent: 'connectionSilent',
  malformed: 'backendServerError',
};

/** Failures that lose tokens which the engine has computed. */
const recomputeByFailure: Readonly<Partial<Record<AttemptFailure, RecomputeReason>>> = {
  serverError: 'lossResume',
  malformed: 'lossResume',
  connectionLost: 'lossResume',
  silent: 'stallResume',
};

/**
 * Counts a lost stream; true if its retry is exempt from the retry budget. Otherwise the failure of
 * one busy server would exhaust the budget of its route and fail accepted requests. The exemption
 * cannot cause a retry storm, since the number of lost streams per request is limited.
 */
function isExemptFromBudget(
  accepted: RequestState,
  { failure, tokens }: AttemptFailedEvent,
): boolean {
  if (failure !== 'connectionLost' && failure !== 'silent') return false;
  if (failure === 'silent' && tokens === 0) return false;
  accepted.lossCount = (accepted.lossCount ?? 0) + 1;
  return accepted.lossCount <= MAX_RECOVERIES_EXEMPT_FROM_BUDGET;
}

/**
 * Keeps a timed-out attempt that has produced nothing yet alongside the next one, as its answer may
 * still arrive first. One that has produced tokens is dropped, since the next attempt resumes after
 * those tokens.
 */
function keepAbandonedAttempt(
  state: EntryState,
  accepted: RequestState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): void {
  if (event.failure !== 'silent' || accepted.tokens > 0 || event.answerStarted) return;
  if (!accepted.route.idempotent) return;
  attempt.givenUp = true;
  state.attempts.set(attempt.attemptId, attempt);
  (accepted.abandonedAttemptIds ??= []).push(attempt.attemptId);
}

function detachAttempt(
  accepted: RequestState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): void {
  accepted.attemptId = undefined;
  accepted.tokens = Math.max(accepted.tokens, event.tokens);
  if (accepted.firstTokenAt !== undefined) accepted.interruptedAt = event.now;
  if (event.sent === 'maybe' || attempt.sent) accepted.maybeSent = true;
}

function logFailure(attempt: AttemptState, event: AttemptFailedEvent): EntryEffect {
  const { requestId, instance, attemptId } = attempt;
  const { failure, sent } = event;
  return {
    type: 'log',
    event: 'attemptFailed',
    fields: { requestId, attemptId, backendServer: instance, failure, sent },
  };
}

/** Retries or fails a request whose attempt has just failed. */
function retryOrFail(
  state: EntryState,
  accepted: RequestState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): EntryEffect[] {
  if (event.failure === 'clientError') {
    const detail = 'The backend server rejected the request';
    return failRequest(state, accepted, 'backendServerFailed', detail, {
      ran: determineRan(accepted),
    });
  }
  if (event.answerStarted) return failInterruptedAnswer(state, accepted);
  keepAbandonedAttempt(state, accepted, attempt, event);
  const cause = {
    reason: retryReasonByFailure[event.failure],
    instance: attempt.instance,
    exemptFromBudget: isExemptFromBudget(accepted, event),
    retryAfter: event.retryAfter,
    recompute: accepted.maybeSent === true ? recomputeByFailure[event.failure] : undefined,
  };
  return retryRequest(state, accepted, cause, event.now);
}

export function failAttempt(
  state: EntryState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): EntryEffect[] {
  const accepted = state.requests.get(attempt.requestId);
  if (accepted === undefined || accepted.attemptId !== attempt.attemptId) {
    removeAttempt(state, attempt);
    return [];
  }
  const lossEffects = recordLoss(state, accepted, attempt, event);
  removeAttempt(state, attempt);
  removeCacheMove(state, attempt.requestId);
  detachAttempt(accepted, attempt, event);
  return [
    logFailure(attempt, event),
    ...lossEffects,
    ...retryOrFail(state, accepted, attempt, event),
  ];
}

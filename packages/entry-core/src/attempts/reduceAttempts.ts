/**
 * What the edges of an attempt's stream mean for its request.
 */
import { assertNever, type RetryReason } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure, EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { failRequest, finishRequest } from '../requests/endRequest.js';
import type { AttemptState } from './AttemptState.js';
import { startAttempt } from './startAttempt.js';

type AttemptEvent = Extract<EntryEvent, { attemptId: string }>;
type AttemptFailed = Extract<EntryEvent, { type: 'attemptFailed' }>;

const retryReasonByFailure: Readonly<Record<AttemptFailure, RetryReason>> = {
  connectFailed: 'connectFailed',
  busy: 'backendServerBusy',
  serverError: 'backendServerError',
  clientError: 'backendServerError',
  connectionLost: 'backendServerLost',
  silent: 'connectionSilent',
  malformed: 'backendServerError',
};

/** Ends an attempt's own record. Its request goes on, or not, as the caller of this decides. */
export function forgetAttempt(state: EntryState, attempt: AttemptState): void {
  state.attempts.delete(attempt.attemptId);
  state.backendServers.get(attempt.instance)?.attemptIds.delete(attempt.attemptId);
}

/** Counts what came from an attempt that its request no longer waits for. */
function dropLate(): EntryEffect[] {
  return [{ type: 'count', metric: 'lateAnswers', label: 'attemptGivenUp' }];
}

function failAttempt(state: EntryState, attempt: AttemptState, event: AttemptFailed) {
  forgetAttempt(state, attempt);
  const accepted = state.requests.get(attempt.requestId);
  if (accepted === undefined || accepted.attemptId !== attempt.attemptId) return dropLate();
  accepted.attemptId = undefined;
  accepted.tokens = Math.max(accepted.tokens, event.tokens);
  const { failure, sent } = event;
  const { requestId, instance, attemptId } = attempt;
  const effects: EntryEffect[] = [
    {
      type: 'log',
      event: 'attemptFailed',
      fields: { requestId, attemptId, instance, failure, sent },
    },
  ];
  if (failure === 'clientError') {
    const detail = 'The backend server refused the request';
    return [...effects, ...failRequest(state, accepted, 'backendServerFailed', detail)];
  }
  if (event.answerStarted) {
    effects.push({ type: 'count', metric: 'retriesRefused', label: 'answerStarted' });
    const detail = 'The backend server was lost in the middle of the answer';
    return [...effects, ...failRequest(state, accepted, 'answerCut', detail)];
  }
  effects.push({ type: 'count', metric: 'retries', label: retryReasonByFailure[failure] });
  return [...effects, ...startAttempt(state, accepted, event.now)];
}

export function reduceAttempts(state: EntryState, event: AttemptEvent): EntryEffect[] {
  const attempt = state.attempts.get(event.attemptId);
  if (attempt === undefined) return dropLate();
  const accepted = state.requests.get(attempt.requestId);
  switch (event.type) {
    case 'attemptSent':
      attempt.sent = true;
      return [];
    case 'firstTokenReceived':
      if (accepted === undefined || accepted.firstTokenAt !== undefined) return [];
      accepted.firstTokenAt = event.now;
      return [
        {
          type: 'observe',
          metric: 'firstTokenSeconds',
          value: (event.now - accepted.arrivedAt) / 1000,
          label: accepted.route.name,
        },
      ];
    case 'attemptProgressed':
      if (accepted !== undefined) accepted.tokens = Math.max(accepted.tokens, event.tokens);
      return [];
    case 'attemptFinished':
      forgetAttempt(state, attempt);
      if (accepted === undefined || accepted.attemptId !== attempt.attemptId) return dropLate();
      return finishRequest(state, accepted);
    case 'attemptFailed':
      return failAttempt(state, attempt, event);
    default:
      return assertNever(event);
  }
}

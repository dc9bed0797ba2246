/**
 * Applies the events of an attempt's stream to its request. Every event names its attempt, and only
 * the attempt that the request is currently bound to, or its hedge, changes the request; events of
 * other attempts could otherwise duplicate the answer or splice two answers together. One exception:
 * an attempt that timed out may still deliver the answer while the caller has received nothing.
 */
import { assertNever } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { countBegun } from '../demand/countBegun.js';
import { hedgeAttempt } from '../hedging/hedgeAttempt.js';
import { recordDuration } from '../hedging/observeDurations.js';
import { isRunningFor, winRace } from '../hedging/race.js';
import { finishRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import { recordServerDelay, recordVersionSuccess } from '../rollouts/recordVersionAnswer.js';
import { bindVersion } from '../streamVersions/boundVersion.js';
import { recordOrigin } from '../streamVersions/shareOrigins.js';
import type { AttemptState } from './AttemptState.js';
import { failAttempt } from './failAttempt.js';
import { removeAttempt, removeTimedOutAttempt } from './releaseAttempts.js';

export { removeAttempt } from './releaseAttempts.js';

type AttemptEvent = Extract<
  EntryEvent,
  {
    type:
      | 'attemptSent'
      | 'firstTokenReceived'
      | 'attemptProgressed'
      | 'attemptHeld'
      | 'hedgeDue'
      | 'answerClaimed'
      | 'attemptFinished'
      | 'attemptFailed';
  }
>;

type AttemptFinishedEvent = Extract<EntryEvent, { type: 'attemptFinished' }>;

/** After these events, no later failure can show that the attempt has not run. */
const eventsOfSentAttempts: ReadonlySet<AttemptEvent['type']> = new Set([
  'attemptSent',
  'firstTokenReceived',
  'attemptProgressed',
  'answerClaimed',
] as const);

/** Counts an answer that is dropped because its request no longer waits for that attempt. */
function countLateAnswer(): EntryEffect[] {
  return [{ type: 'count', metric: 'lateAnswers', label: 'attemptGivenUp' }];
}

function recordFirstToken(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  { now, wallNow, isEventStream }: Extract<EntryEvent, { type: 'firstTokenReceived' }>,
): EntryEffect[] {
  countBegun(state, requestState, wallNow);
  bindVersion(requestState, attempt);
  recordServerDelay(state, attempt, now);
  attempt.firstTokenAt ??= now;
  const originEffects =
    isEventStream === true ? recordOrigin(state, requestState, attempt, now) : [];
  if (requestState.firstTokenAt !== undefined) return originEffects;
  requestState.firstTokenAt = now;
  return [
    ...originEffects,
    {
      type: 'observe',
      metric: 'firstTokenSeconds',
      value: (now - requestState.arrivedAt) / 1000,
      label: requestState.route.name,
    },
  ];
}

function recordProgress(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  event: Extract<EntryEvent, { type: 'attemptProgressed' }>,
): void {
  recordServerDelay(state, attempt, event.now);
  attempt.firstTokenAt ??= event.now;
  attempt.tokens = Math.max(attempt.tokens, event.tokens);
  attempt.tokensUpdatedAt = event.now;
  requestState.tokens = Math.max(requestState.tokens, event.tokens);
}

/**
 * Handles the complete answer of an attempt that had timed out. If the caller has received nothing
 * yet, the answer is used and the newer attempt is cancelled.
 */
function finishTimedOutAttempt(
  state: EntryState,
  requestState: RequestState | undefined,
  attempt: AttemptState,
  { attemptId, longestPause, status, endShownBy }: AttemptFinishedEvent,
): EntryEffect[] {
  removeTimedOutAttempt(state, attempt);
  if (
    requestState === undefined ||
    requestState.firstTokenAt !== undefined ||
    requestState.tokens > 0
  ) {
    return countLateAnswer();
  }
  return finishRequest(state, requestState, attemptId, { longestPause, status, endShownBy });
}

function finishAttempt(
  state: EntryState,
  attempt: AttemptState,
  event: AttemptFinishedEvent,
): EntryEffect[] {
  const requestState = state.requests.get(attempt.requestId);
  if (attempt.timedOut) return finishTimedOutAttempt(state, requestState, attempt, event);
  removeAttempt(state, attempt);
  if (requestState === undefined || !isRunningFor(requestState, attempt)) return countLateAnswer();
  const versionEffects = recordVersionSuccess(state, requestState, attempt, event.now);
  recordDuration(state, requestState, attempt, event.now);
  const cancelled = winRace(state, requestState, attempt, event.now);
  requestState.attemptId = undefined;
  requestState.maybeSent = true;
  return [
    ...versionEffects,
    ...cancelled,
    ...finishRequest(state, requestState, attempt.attemptId, event),
  ];
}

export function reduceAttempts(state: EntryState, event: AttemptEvent): EntryEffect[] {
  const attempt = state.attempts.get(event.attemptId);
  if (attempt === undefined) return event.type === 'attemptFinished' ? countLateAnswer() : [];
  if (event.type === 'attemptFinished') return finishAttempt(state, attempt, event);
  if (event.type === 'attemptFailed') return failAttempt(state, attempt, event);
  const requestState = state.requests.get(attempt.requestId);
  if (requestState === undefined || !isRunningFor(requestState, attempt)) return [];
  if (eventsOfSentAttempts.has(event.type)) {
    attempt.maybeSent = true;
    requestState.maybeSent = true;
  }
  switch (event.type) {
    case 'attemptSent':
      return [];
    case 'firstTokenReceived':
      return recordFirstToken(state, requestState, attempt, event);
    case 'attemptProgressed':
      recordProgress(state, requestState, attempt, event);
      return [];
    case 'hedgeDue':
      return hedgeAttempt(state, requestState, attempt, event.now);
    case 'answerClaimed':
      attempt.isHeld = false;
      return winRace(state, requestState, attempt, event.now);
    case 'attemptHeld':
      attempt.pausedByCaller = event.held;
      if (!event.held) attempt.tokensUpdatedAt = event.now;
      return [];
    default:
      return assertNever(event);
  }
}

/**
 * Handles the failure of an attempt: removes it, or keeps it if it only timed out, then retries or
 * fails its request. If the request was hedged and its other attempt still runs, that one decides.
 */
import type { Milliseconds, RecomputeReason, RetryReason } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure, EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { countBegun } from '../demand/countBegun.js';
import { recordDuration } from '../hedging/observeDurations.js';
import { isRunningFor, leaveRace } from '../hedging/race.js';
import { recordLoss } from '../quarantine/recordLoss.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import { recordVersionFailure, recordVersionSilence } from '../rollouts/recordVersionAnswer.js';
import { describeStatedLoad } from '../statements/AssumedRoom.js';
import { BRITTLE_REST_MILLISECONDS, isBrittle } from '../statements/brittleAllowance.js';
import { learnFromRejection } from '../statements/receiveRejection.js';
import { recordRest } from '../statements/receiveStatement.js';
import { releaseUnusedVersion } from '../streamVersions/boundVersion.js';
import type { AttemptState } from './AttemptState.js';
import { removeAttempt, removeCacheMove, retainTimedOutAttempt } from './releaseAttempts.js';
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

/** Why tokens are recomputed, by the failures that lose what the engine has computed. */
const recomputeReasonByFailure: Readonly<Partial<Record<AttemptFailure, RecomputeReason>>> = {
  serverError: 'lossResume',
  malformed: 'lossResume',
  connectionLost: 'lossResume',
  silent: 'stallResume',
};

/**
 * Counts a lost stream; true if its retry is exempt from the retry budget. Without the exemption,
 * the loss of one server with many streams would exhaust the budget of its route and fail requests.
 * It cannot cause a retry storm, since the number of exempt retries per request is limited.
 */
function countLossAndCheckExemption(
  requestState: RequestState,
  { failure, tokens }: AttemptFailedEvent,
): boolean {
  if (failure !== 'connectionLost' && failure !== 'silent') return false;
  if (failure === 'silent' && tokens === 0) return false;
  requestState.lossCount = (requestState.lossCount ?? 0) + 1;
  return requestState.lossCount <= MAX_RECOVERIES_EXEMPT_FROM_BUDGET;
}

/**
 * Keeps an attempt that timed out before its first token running alongside the next one, as its
 * answer may still arrive first. Only for idempotent routes. An attempt that has produced tokens is
 * dropped, since the next one resumes after them.
 */
function keepTimedOutAttempt(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): void {
  if (event.failure !== 'silent' || requestState.tokens > 0 || event.answerStarted) return;
  if (!requestState.route.idempotent) return;
  retainTimedOutAttempt(state, attempt);
  (requestState.timedOutAttemptIds ??= []).push(attempt.attemptId);
}

function recordFailureInRequest(
  requestState: RequestState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): void {
  requestState.tokens = Math.max(requestState.tokens, event.tokens);
  releaseUnusedVersion(requestState, requestState.tokens);
  if (requestState.firstTokenAt !== undefined) requestState.interruptedAt = event.now;
  if (event.sent === 'maybe' || attempt.maybeSent) requestState.maybeSent = true;
}

/** Failures that a backend server answers after it has begun to run the request. */
const failuresAfterBegin: readonly AttemptFailure[] = ['serverError', 'clientError'];

/** The parts of a prompt may have ended a server that has written nothing of the answer yet. */
function describeParts(state: EntryState, attempt: AttemptState, event: AttemptFailedEvent) {
  const { sharedParts } = state.requests.get(attempt.requestId)?.request ?? {};
  const mayHaveEndedServer = event.failure === 'connectionLost' && event.tokens === 0;
  return mayHaveEndedServer && sharedParts !== undefined ? { parts: sharedParts } : {};
}

function logFailure(
  state: EntryState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): EntryEffect {
  const { requestId, instance, attemptId, version } = attempt;
  const { failure, sent, proof, response, incomplete, tokens } = event;
  return {
    type: 'log',
    event: 'attemptFailed',
    fields: {
      requestId,
      attemptId,
      backendServer: instance,
      ...(version === undefined ? {} : { version }),
      failure,
      sent,
      ...(proof === undefined ? {} : { proof }),
      ...response,
      ...(incomplete === undefined ? {} : { incomplete }),
      tokens,
      ...describeParts(state, attempt, event),
    },
  };
}

function reportFailure(
  state: EntryState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): EntryEffect[] {
  const { proof, response, incomplete } = event;
  const effects = [logFailure(state, attempt, event)];
  if (proof !== undefined) effects.push({ type: 'count', metric: 'attemptsNotRun', label: proof });
  if (response !== undefined) {
    effects.push({ type: 'count', metric: 'failedAnswers', label: String(response.status) });
  }
  if (incomplete !== undefined) {
    effects.push({ type: 'count', metric: 'incompleteAnswers', label: incomplete });
  }
  return effects;
}

function retryOrFail(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): EntryEffect[] {
  if (event.failure === 'clientError') {
    const detail = 'The backend server rejected the request';
    return failRequest(state, requestState, 'backendServerFailed', detail);
  }
  if (event.answerStarted) return failInterruptedAnswer(state, requestState);
  keepTimedOutAttempt(state, requestState, attempt, event);
  const cause = {
    reason: retryReasonByFailure[event.failure],
    instance: attempt.instance,
    isServerFailure: event.failure === 'serverError',
    exemptFromBudget: countLossAndCheckExemption(requestState, event),
    recompute:
      requestState.maybeSent === true ? recomputeReasonByFailure[event.failure] : undefined,
  };
  return retryRequest(state, requestState, cause, event.now);
}

/** A brittle server that has rejected a request may not survive many more. */
function restOfBrittleServer(
  state: EntryState,
  { instance }: AttemptState,
  { failure }: AttemptFailedEvent,
): Milliseconds | undefined {
  return failure === 'busy' && isBrittle(state, instance) ? BRITTLE_REST_MILLISECONDS : undefined;
}

/** Logged for each rejection, also of attempts that no request waits for any more. */
function receiveRejection(
  state: EntryState,
  attempt: AttemptState,
  { failure, now, response }: AttemptFailedEvent,
  isAwaited: boolean,
): EntryEffect[] {
  if (failure !== 'busy') return [];
  const { requestId, attemptId, instance, assumedRoom, startedAt } = attempt;
  const { inProgress, limit, ...assumed } = assumedRoom;
  const label = assumed.survivedRejections === undefined ? 'notBrittle' : 'brittle';
  const fields = {
    requestId,
    attemptId,
    backendServer: instance,
    ...response,
    isAwaited,
    after: now - startedAt,
    assumedInProgress: inProgress,
    assumedLimit: limit,
    ...assumed,
    ...describeStatedLoad(state, instance),
  };
  return [
    { type: 'count', metric: 'serverRejections', label },
    { type: 'log', event: 'serverRejected', fields },
    ...learnFromRejection(state, attempt),
  ];
}

export function failAttempt(
  state: EntryState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): EntryEffect[] {
  const { retryAfter } = event;
  const restFor = retryAfter ?? restOfBrittleServer(state, attempt, event);
  const requestState = state.requests.get(attempt.requestId);
  const isAwaited = requestState !== undefined && isRunningFor(requestState, attempt);
  const restEffects = [
    ...receiveRejection(state, attempt, event, isAwaited),
    ...(restFor === undefined ? [] : recordRest(state, attempt.instance, restFor)),
  ];
  if (!isAwaited) {
    removeAttempt(state, attempt);
    return restEffects;
  }
  if (failuresAfterBegin.includes(event.failure)) countBegun(state, requestState, event.wallNow);
  const versionEffects = recordVersionFailure(state, requestState, attempt, event.failure);
  if (event.failure === 'silent') recordVersionSilence(state, requestState, attempt, event.now);
  const lossEffects = recordLoss(state, requestState, attempt, event);
  removeAttempt(state, attempt);
  removeCacheMove(state, attempt.requestId);
  recordFailureInRequest(requestState, attempt, event);
  if (event.failure === 'silent') recordDuration(state, requestState, attempt, event.now);
  if (leaveRace(requestState, attempt.attemptId)) {
    return [...reportFailure(state, attempt, event), ...restEffects, ...lossEffects];
  }
  requestState.attemptId = undefined;
  return [
    ...reportFailure(state, attempt, event),
    ...versionEffects,
    ...restEffects,
    ...lossEffects,
    ...retryOrFail(state, requestState, attempt, event),
  ];
}

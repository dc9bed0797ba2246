/**
 * Keeps claims in step with their requests. The attempts and the admission of a claimed call work
 * as those of any other; here their outcomes are read off the event and the effects it had, and
 * the log is told.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestClaim } from './RequestClaim.js';
import { handleClaimEvent } from './applyClaimEffect.js';
import type { ClaimedCallEvent } from './ClaimedCall.js';

type AttemptEndEvent = Extract<EntryEvent, { type: 'attemptFinished' | 'attemptFailed' }>;

function isAttemptEnd(event: EntryEvent): event is AttemptEndEvent {
  return event.type === 'attemptFinished' || event.type === 'attemptFailed';
}

/** The claim whose attempt has ended; to be found before the event is handled. */
export function findClaimOfEndedAttempt(
  state: EntryState,
  event: EntryEvent,
): RequestClaim | undefined {
  if (state.claims.size === 0 || !isAttemptEnd(event)) return undefined;
  return state.claims.get(state.attempts.get(event.attemptId)?.requestId ?? '');
}

function toOutcome(event: AttemptEndEvent): ClaimedCallEvent {
  if (event.type === 'attemptFailed') {
    return { type: 'sendFailed', beforeFirstByte: event.sent === 'nothing' };
  }
  return { type: 'answered', answer: event.storedAnswer ?? { status: 200, headers: {} } };
}

/** What the end of a request says of its claim, or undefined if its attempt still runs. */
function toProblemOutcome(state: EntryState, { call, accepted }: RequestClaim) {
  if (call.phase === 'opening') return { type: 'deadlineReached' } as const;
  const attemptRuns = accepted.attemptId !== undefined && state.attempts.has(accepted.attemptId);
  if (attemptRuns) return undefined;
  return { type: 'sendFailed', beforeFirstByte: accepted.maybeSent !== true } as const;
}

/** The caller has its final answer by one of these effects; the claim is told the outcome. */
function handleFinalAnswer(
  state: EntryState,
  effect: EntryEffect,
  event: EntryEvent,
): EntryEffect[] {
  if (effect.type !== 'finishAnswer' && effect.type !== 'answerProblem') return [];
  const claim = state.claims.get(effect.requestId);
  if (claim === undefined || claim.call.answered) return [];
  claim.call.answered = true;
  const outcome =
    effect.type === 'finishAnswer' && isAttemptEnd(event)
      ? toOutcome(event)
      : toProblemOutcome(state, claim);
  return outcome === undefined ? [] : handleClaimEvent(state, claim, outcome, event);
}

/** An attempt that ends after its caller was answered still has an outcome to store. */
function handleLateAttemptEnd(
  state: EntryState,
  claim: RequestClaim | undefined,
  event: EntryEvent,
): EntryEffect[] {
  if (claim === undefined || !isAttemptEnd(event)) return [];
  if (!claim.call.answered || claim.call.phase !== 'sending') return [];
  return handleClaimEvent(state, claim, toOutcome(event), event);
}

function handleClaimAnswer(state: EntryState, event: EntryEvent): EntryEffect[] {
  if (event.type !== 'claimAnswered') return [];
  const claim = state.claims.get(event.requestId);
  if (claim === undefined) return [];
  const { command, answer, now } = event;
  const claimEvent: ClaimedCallEvent =
    answer.type === 'result'
      ? { type: 'claimResult', now, command, result: answer.result }
      : { type: 'storeFailed', now, command, nothingDone: answer.type === 'unavailable' };
  return handleClaimEvent(state, claim, claimEvent, event);
}

function resendDueCommands(state: EntryState, event: EntryEvent): EntryEffect[] {
  if (event.type !== 'tick') return [];
  return [...state.claims.values()]
    .filter(({ resendAt }) => resendAt <= event.now)
    .flatMap((claim) =>
      handleClaimEvent(state, claim, { type: 'resendDue', now: event.now }, event),
    );
}

/**
 * @param endedClaim - What `findEndingClaim` found before the event was handled.
 * @param effects - What the event has led to so far.
 */
export function updateClaims(
  state: EntryState,
  event: EntryEvent,
  endedClaim: RequestClaim | undefined,
  effects: readonly EntryEffect[],
): EntryEffect[] {
  if (state.claims.size === 0) return [];
  return [
    ...effects.flatMap((effect) => handleFinalAnswer(state, effect, event)),
    ...handleLateAttemptEnd(state, endedClaim, event),
    ...handleClaimAnswer(state, event),
    ...resendDueCommands(state, event),
  ];
}

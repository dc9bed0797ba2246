/**
 * Keeps claims up to date with their requests. Admission and attempts treat a claimed call like any
 * other; this module derives the outcome of the call from the handled event and the effects it
 * caused, and passes it to the claim.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestClaim } from './RequestClaim.js';
import { handleClaimEvent } from './applyClaimEffect.js';
import type { ClaimedCallEvent } from './ClaimedCallState.js';

type AttemptEndEvent = Extract<EntryEvent, { type: 'attemptFinished' | 'attemptFailed' }>;

function isAttemptEnd(event: EntryEvent): event is AttemptEndEvent {
  return event.type === 'attemptFinished' || event.type === 'attemptFailed';
}

/** Finds the claim whose attempt the event ends. Call it before the event removes the attempt. */
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

/** The claim event for a request that failed, or undefined while its attempt still runs. */
function toProblemOutcome(state: EntryState, { call, requestState }: RequestClaim) {
  if (call.phase === 'opening') return { type: 'deadlineReached' } as const;
  const attemptRuns =
    requestState.attemptId !== undefined && state.attempts.has(requestState.attemptId);
  if (attemptRuns) return undefined;
  return { type: 'sendFailed', beforeFirstByte: requestState.maybeSent !== true } as const;
}

/** Passes the outcome to the claim when an effect gives the caller its final answer. */
function handleFinalAnswer(
  state: EntryState,
  effect: EntryEffect,
  event: EntryEvent,
): EntryEffect[] {
  if (effect.type !== 'finishAnswer' && effect.type !== 'answerProblem') return [];
  const claim = state.claims.get(effect.requestId);
  if (claim === undefined || claim.call.resolved) return [];
  claim.call.resolved = true;
  const outcome =
    effect.type === 'finishAnswer' && isAttemptEnd(event)
      ? toOutcome(event)
      : toProblemOutcome(state, claim);
  return outcome === undefined ? [] : handleClaimEvent(state, claim, outcome, event);
}

/** Records the outcome of an attempt that ends after its caller was answered. */
function handleLateAttemptEnd(
  state: EntryState,
  claim: RequestClaim | undefined,
  event: EntryEvent,
): EntryEffect[] {
  if (claim === undefined || !isAttemptEnd(event)) return [];
  if (!claim.call.resolved || claim.call.phase !== 'sending') return [];
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
 * @param endedClaim - The result of `findClaimOfEndedAttempt` before the event was handled.
 * @param effects - The effects that the event has caused so far.
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

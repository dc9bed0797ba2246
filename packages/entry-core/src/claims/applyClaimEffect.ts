/**
 * Passes events to the state machine of a claimed call and turns the effects it returns into
 * effects of the entry.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { assertNever, type ErrorKind } from '@hornbeampond/schema';
import { releaseAttempts } from '../attempts/releaseAttempts.js';
import { startAttempt } from '../attempts/startAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestClaim } from './RequestClaim.js';
import type { ClaimedCallEffect, ClaimedCallEvent } from './ClaimedCallState.js';
import { reduceClaimedCall } from './reduceClaimedCall.js';

/**
 * Keeps entries from resending claim commands at the same moment after a leader of the log failed.
 */
const MAX_JITTER_FRACTION_OF_DELAY = 0.25;

const detailByKind: Readonly<Partial<Record<ErrorKind, string>>> = {
  claimRunning: 'The same call is in progress; retry later to get its outcome',
  outcomeUnknown: 'The call was sent, but it is not known whether it ran',
  idempotencyKeyReused: 'The idempotency key was already used with a different body',
  answerTooLargeToReplay: 'The call ran, but its answer was too large to be stored',
  claimsUnavailable: 'No quorum of stores is reachable, so the call was not sent',
};

export function handleClaimEvent(
  state: EntryState,
  claim: RequestClaim,
  event: ClaimedCallEvent,
  timestamps: Timestamps,
): EntryEffect[] {
  const effects = reduceClaimedCall(claim.call, event);
  const { heldByOtherRequest, phase } = claim.call;
  claim.requestState.mayRunForOtherRequest = heldByOtherRequest || phase === 'opening';
  return effects.flatMap((effect) => applyClaimEffect(state, claim, effect, timestamps));
}

export function applyClaimEffect(
  state: EntryState,
  claim: RequestClaim,
  effect: ClaimedCallEffect,
  timestamps: Timestamps,
): EntryEffect[] {
  const { requestState } = claim;
  const { requestId } = requestState.request;
  switch (effect.type) {
    case 'propose':
      return [{ type: 'proposeClaim', requestId, command: effect.command }];
    case 'startResendTimer': {
      const jitter = uniformInt(
        state.random,
        0,
        Math.ceil(effect.after * MAX_JITTER_FRACTION_OF_DELAY),
      );
      claim.resendAt = timestamps.now + effect.after + jitter;
      return [];
    }
    case 'sendCall':
      return sendCall(state, claim, timestamps);
    case 'answer':
      return replayAnswer(state, claim, effect);
    case 'refuse': {
      if (!state.requests.has(requestId)) return [];
      const detail = detailByKind[effect.kind] ?? 'The call could not be claimed';
      return failRequest(state, requestState, effect.kind, detail, { ran: effect.ran });
    }
    case 'tryElsewhere':
      // Ignored: if an attempt provably sent nothing, the entry has already retried it, under this
      // claim.
      return [];
    case 'finished':
      state.claims.delete(requestId);
      return [];
    default:
      return assertNever(effect);
  }
}

/** Sends the call once its claim is held, unless the caller has its final answer by then. */
function sendCall(state: EntryState, claim: RequestClaim, timestamps: Timestamps): EntryEffect[] {
  if (state.requests.has(claim.requestState.request.requestId)) {
    return startAttempt(state, claim.requestState, timestamps.now);
  }
  return handleClaimEvent(state, claim, { type: 'sendFailed', beforeFirstByte: true }, timestamps);
}

/**
 * Gives the caller the answer stored in the log. Does nothing for a fresh answer (`replayed:
 * false`), which reaches the caller from the attempt itself.
 */
function replayAnswer(
  state: EntryState,
  { requestState }: RequestClaim,
  { answer, replayed }: Extract<ClaimedCallEffect, { type: 'answer' }>,
): EntryEffect[] {
  const { requestId } = requestState.request;
  if (!replayed || !state.requests.delete(requestId)) return [];
  return [
    ...releaseAttempts(state, requestState),
    { type: 'replayAnswer', requestId, answer },
    { type: 'log', event: 'answerReplayed', fields: { requestId } },
  ];
}

/**
 * Feeds a claimed call with what has happened, and turns what it asks for into effects of the
 * entry.
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
import type { ClaimedCallEffect, ClaimedCallEvent } from './ClaimedCall.js';
import { reduceClaimedCall } from './reduceClaimedCall.js';

/** Jitter on resends, as a share of the wait: entries that lost one leader come back spread out. */
const MAX_JITTER_FRACTION_OF_DELAY = 0.25;

const detailByKind: Readonly<Partial<Record<ErrorKind, string>>> = {
  claimRunning: 'The same call is in progress; send it again later to learn its outcome',
  outcomeUnknown: 'The call was sent, and whether it ran is not known',
  idempotencyKeyReused: 'The key was used with another body',
  answerTooLargeToReplay: 'The call ran; its answer was above the bound on stored answers',
  claimsUnavailable: 'No quorum of stores can be reached, so the call was not sent',
};

export function handleClaimEvent(
  state: EntryState,
  claim: RequestClaim,
  event: ClaimedCallEvent,
  timestamps: Timestamps,
): EntryEffect[] {
  const effects = reduceClaimedCall(claim.call, event);
  claim.accepted.mayRunElsewhere = claim.call.heldElsewhere;
  return effects.flatMap((effect) => applyClaimEffect(state, claim, effect, timestamps));
}

export function applyClaimEffect(
  state: EntryState,
  claim: RequestClaim,
  effect: ClaimedCallEffect,
  timestamps: Timestamps,
): EntryEffect[] {
  const { accepted } = claim;
  const { requestId } = accepted.request;
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
      return failRequest(state, accepted, effect.kind, detail, { ran: effect.ran });
    }
    case 'tryElsewhere':
      // Attempts that provably sent nothing are tried elsewhere under the same claim.
      return [];
    case 'finished':
      state.claims.delete(requestId);
      return [];
    default:
      return assertNever(effect);
  }
}

/** The claim is held: the call is sent, unless its caller has had its final answer meanwhile. */
function sendCall(state: EntryState, claim: RequestClaim, timestamps: Timestamps): EntryEffect[] {
  if (state.requests.has(claim.accepted.request.requestId)) {
    return startAttempt(state, claim.accepted, timestamps.now);
  }
  return handleClaimEvent(state, claim, { type: 'sendFailed', beforeFirstByte: true }, timestamps);
}

/** Gives the caller the answer of the first run. */
function replayAnswer(
  state: EntryState,
  { accepted }: RequestClaim,
  { answer, replayed }: Extract<ClaimedCallEffect, { type: 'answer' }>,
): EntryEffect[] {
  const { requestId } = accepted.request;
  if (!replayed || !state.requests.delete(requestId)) return [];
  return [
    ...releaseAttempts(state, accepted),
    { type: 'replayAnswer', requestId, answer },
    { type: 'log', event: 'answerReplayed', fields: { requestId } },
  ];
}

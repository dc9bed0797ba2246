/**
 * Before a call that may run at most once is sent to a backend server, claims it in the replicated
 * log. Without the claim, two entries that receive the same call would both send it.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import type { RequestClaim } from './RequestClaim.js';
import { applyClaimEffect } from './applyClaimEffect.js';
import { startClaimedCall } from './reduceClaimedCall.js';

/** How long after the deadline the claim expires, so that a late outcome can still be recorded. */
const EXPIRY_MARGIN_MILLISECONDS: Milliseconds = 30_000;

/** Number of unacknowledged releases from which new calls are refused without asking the log. */
const MAX_PENDING_RELEASES = 64;

/**
 * True if too many releases are unacknowledged. New calls are then refused: with no quorum, each
 * would wait until its claim fails and leave one more release to resend.
 */
function isLogUnresponsive({ claims }: EntryState): boolean {
  if (claims.size < MAX_PENDING_RELEASES) return false;
  const pendingReleases = [...claims.values()].filter(({ call }) => call.phase === 'releasing');
  return pendingReleases.length >= MAX_PENDING_RELEASES;
}

export function beginClaim(
  state: EntryState,
  requestState: RequestState,
  timestamps: Timestamps,
): EntryEffect[] {
  const { requestId, workspace, idempotencyKey, digest } = requestState.request;
  if (idempotencyKey === undefined)
    throw new TypeError(`request ${requestId} cannot be claimed without an idempotency key`);
  if (isLogUnresponsive(state)) {
    const detail = 'No quorum of stores responds, so the call was not sent';
    return failRequest(state, requestState, 'claimsUnavailable', detail);
  }
  const holder = state.identity.instance;
  const intent = { workspace, key: idempotencyKey, digest, holder };
  const expiresAfter = requestState.wholeAnswerDueAt - timestamps.now + EXPIRY_MARGIN_MILLISECONDS;
  const { call, effects } = startClaimedCall(intent, requestId, timestamps.now, expiresAfter);
  const claim: RequestClaim = { call, requestState, resendAt: timestamps.now };
  state.claims.set(requestId, claim);
  requestState.mayRunForOtherRequest = true;
  return effects.flatMap((effect) => applyClaimEffect(state, claim, effect, timestamps));
}

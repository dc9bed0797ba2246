/**
 * A call that may run at most once is claimed in the log before it is sent anywhere. Without the
 * claim two entries that are sent the same call would each send it on, and a seller would be paid
 * twice.
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

/** Time past the deadline in which a late outcome is still learnt before the claim expires. */
const EXPIRY_MARGIN_MILLISECONDS: Milliseconds = 30_000;

/** Releases that may wait for the log before new calls are refused without asking it. */
const MAX_PENDING_RELEASES = 64;

/**
 * True if the log has not acknowledged releases for a while. In a data centre without a quorum each
 * call would otherwise wait for its own opens to fail, and leave one more release to be resent.
 */
function isLogUnresponsive({ claims }: EntryState): boolean {
  if (claims.size < MAX_PENDING_RELEASES) return false;
  const pendingReleases = [...claims.values()].filter(({ call }) => call.phase === 'releasing');
  return pendingReleases.length >= MAX_PENDING_RELEASES;
}

export function beginClaim(
  state: EntryState,
  accepted: RequestState,
  timestamps: Timestamps,
): EntryEffect[] {
  const { requestId, workspace, idempotencyKey, digest } = accepted.request;
  if (idempotencyKey === undefined) throw new TypeError(`${requestId} has no key to claim`);
  if (isLogUnresponsive(state)) {
    const detail = 'No quorum of stores answers, so the call was not sent';
    return failRequest(state, accepted, 'claimsUnavailable', detail, { ran: 'no' });
  }
  const holder = state.identity.instance;
  const intent = { workspace, key: idempotencyKey, digest, holder };
  const expiresAfter = accepted.wholeAnswerDueAt - timestamps.now + EXPIRY_MARGIN_MILLISECONDS;
  const { call, effects } = startClaimedCall(intent, requestId, timestamps.now, expiresAfter);
  const claim: RequestClaim = { call, accepted, resendAt: timestamps.now };
  state.claims.set(requestId, claim);
  return effects.flatMap((effect) => applyClaimEffect(state, claim, effect, timestamps));
}

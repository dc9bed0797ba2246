/**
 * A call that may run at most once is claimed in the log before it is sent anywhere. Without the
 * claim two entries that are sent the same call would each send it on, and a seller would be paid
 * twice.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timed } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { CallClaim } from './CallClaim.js';
import { carryOutClaim } from './carryOutClaim.js';
import { startClaimedCall } from './reduceClaimedCall.js';

/** Time past the deadline in which a late outcome is still learnt before the claim expires. */
const EXPIRY_MARGIN: Milliseconds = 30_000;

export function beginClaim(state: EntryState, accepted: RequestState, timed: Timed): EntryEffect[] {
  const { requestId, workspace, idempotencyKey, digest } = accepted.request;
  if (idempotencyKey === undefined) throw new TypeError(`${requestId} has no key to claim`);
  const holder = state.identity.instance;
  const intent = { workspace, key: idempotencyKey, digest, holder };
  const expiresAfter = accepted.wholeAnswerDueAt - timed.now + EXPIRY_MARGIN;
  const { call, effects } = startClaimedCall(intent, requestId, timed.now, expiresAfter);
  const claim: CallClaim = { call, accepted, resendAt: timed.now };
  state.claims.set(requestId, claim);
  return effects.flatMap((effect) => carryOutClaim(state, claim, effect, timed));
}

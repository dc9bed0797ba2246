/**
 * Ends the request of a caller that has disconnected and cancels its attempts. A claimed call
 * continues, because its outcome must still be recorded.
 */
import { requiresClaim } from '@hornbeampond/schema';
import { releaseAttempts } from '../attempts/releaseAttempts.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';

export function handleCallerDisconnect(state: EntryState, requestId: string): EntryEffect[] {
  state.requestsAwaitingConfiguration.delete(requestId);
  state.requestsAwaitingAcknowledgement.delete(requestId);
  state.takeUpsAwaitingOrigin.delete(requestId);
  state.takeUpsAwaitingList.delete(requestId);
  const accepted = state.requests.get(requestId);
  if (accepted === undefined || requiresClaim(accepted.route)) return [];
  state.requests.delete(requestId);
  return [
    ...releaseAttempts(state, accepted),
    { type: 'log', event: 'callerGone', fields: { requestId } },
  ];
}

/**
 * A caller that closed its connection wants no answer: its attempt is cancelled at the backend
 * server, unless the call may not be repeated, for then its outcome must still be learnt.
 */
import { isClaimed } from '@hornbeampond/schema';
import { releaseAttempts } from '../attempts/releaseAttempts.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';

export function handleCallerDisconnect(state: EntryState, requestId: string): EntryEffect[] {
  state.requestsAwaitingConfiguration.delete(requestId);
  const accepted = state.requests.get(requestId);
  if (accepted === undefined || isClaimed(accepted.route)) return [];
  state.requests.delete(requestId);
  return [
    ...releaseAttempts(state, accepted),
    { type: 'log', event: 'callerGone', fields: { requestId } },
  ];
}

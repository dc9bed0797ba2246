/**
 * A caller that closed its connection wants no answer: its attempt is cancelled at the backend
 * server, unless the call may not be repeated, for then its outcome must still be learnt.
 */
import { forgetAttempt } from '../attempts/reduceAttempts.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';

export function callerGone(state: EntryState, requestId: string): EntryEffect[] {
  const accepted = state.requests.get(requestId);
  if (accepted === undefined || !accepted.route.idempotent) return [];
  state.requests.delete(requestId);
  const effects: EntryEffect[] = [{ type: 'log', event: 'callerGone', fields: { requestId } }];
  if (accepted.attemptId === undefined) return effects;
  const attempt = state.attempts.get(accepted.attemptId);
  if (attempt !== undefined) forgetAttempt(state, attempt);
  return [{ type: 'cancelAttempt', attemptId: accepted.attemptId }, ...effects];
}

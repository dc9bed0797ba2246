/**
 * Ends attempts from this side: their record is dropped at once, so that whatever still comes from
 * them is late, and the shell is asked to cancel them.
 */
import { isClaimed } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { AttemptState } from './AttemptState.js';

/** Ends an attempt's own record. Its request goes on, or not, as the caller of this decides. */
export function removeAttempt(state: EntryState, attempt: AttemptState): void {
  state.attempts.delete(attempt.attemptId);
  const server = state.backendServers.get(attempt.instance);
  server?.attemptIds.delete(attempt.attemptId);
  server?.balancing.pendingPrompts.delete(attempt.attemptId);
  state.peerWork.markChanged(attempt.instance);
}

/** Gives up the attempt that the request is bound to. It may have sent bytes, so it counts so. */
export function cancelAttempt(state: EntryState, accepted: RequestState): EntryEffect[] {
  const { attemptId } = accepted;
  if (attemptId === undefined) return [];
  const attempt = state.attempts.get(attemptId);
  if (attempt !== undefined) removeAttempt(state, attempt);
  accepted.attemptId = undefined;
  accepted.maybeSent = true;
  return [{ type: 'cancelAttempt', attemptId }];
}

/** Ends a move of the request's KV cache, if one is under way, and frees its target's place. */
export function removeCacheMove(state: EntryState, requestId: string): void {
  const move = state.reclaims.moves.get(requestId);
  if (move === undefined) return;
  state.reclaims.moves.delete(requestId);
  state.backendServers.get(move.to)?.attemptIds.delete(reservationIdOf(requestId));
}

/** Stands among a target's attempts for a stream on its way, so that no wave floods it. */
export function reservationIdOf(requestId: string): string {
  return `reserved:${requestId}`;
}

/**
 * Lets go of all that a request holds when it ends. The attempt of a claimed call is left to
 * run, for its outcome must still be learnt; any other is cancelled, so that nobody works for nobody.
 */
export function releaseAttempts(state: EntryState, accepted: RequestState): EntryEffect[] {
  const { requestId } = accepted.request;
  state.retries.waiting.delete(requestId);
  removeCacheMove(state, requestId);
  const effects = isClaimed(accepted.route) ? [] : cancelAttempt(state, accepted);
  accepted.abandonedAttemptIds?.forEach((attemptId) => {
    if (state.attempts.delete(attemptId)) effects.push({ type: 'cancelAttempt', attemptId });
  });
  return effects;
}

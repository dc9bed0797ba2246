/**
 * Ends attempts from the entry's side. The state of an attempt is removed before the effect that
 * cancels it is returned, so that later events of the attempt are ignored.
 */
import { requiresClaim } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { recordVersionSilence } from '../rollouts/recordVersionAnswer.js';
import type { AttemptState } from './AttemptState.js';

/** Removes an attempt from the state. Its request is left unchanged. */
export function removeAttempt(state: EntryState, attempt: AttemptState): void {
  state.attempts.delete(attempt.attemptId);
  const server = state.backendServers.get(attempt.instance);
  server?.attemptIds.delete(attempt.attemptId);
  server?.timedOutAttemptIds.delete(attempt.attemptId);
  server?.balancing.pendingPrompts.delete(attempt.attemptId);
  state.workReports.markOwnWorkChanged(attempt.instance);
}

/** Keeps the state of a removed attempt that has timed out, as its answer may still arrive. */
export function retainTimedOutAttempt(state: EntryState, attempt: AttemptState): void {
  attempt.timedOut = true;
  state.attempts.set(attempt.attemptId, attempt);
  state.backendServers.get(attempt.instance)?.timedOutAttemptIds.add(attempt.attemptId);
}

/** Removes an attempt that was retained after its time-out. */
export function removeTimedOutAttempt(state: EntryState, attempt: AttemptState): void {
  const { attemptId, instance } = attempt;
  state.attempts.delete(attemptId);
  state.backendServers.get(instance)?.timedOutAttemptIds.delete(attemptId);
  // Only there others have heard of it; see `countOwnInProgress`.
  if (state.brittleness.isBrittle(instance)) state.workReports.markOwnWorkChanged(instance);
}

/** Cancels the current attempt of a request. It may have sent bytes, so `maybeSent` is set. */
export function cancelAttempt(state: EntryState, requestState: RequestState): EntryEffect[] {
  const { attemptId } = requestState;
  if (attemptId === undefined) return [];
  const attempt = state.attempts.get(attemptId);
  if (attempt !== undefined) {
    recordVersionSilence(state, requestState, attempt, state.clocks.now);
    removeAttempt(state, attempt);
  }
  requestState.attemptId = undefined;
  requestState.maybeSent = true;
  return [{ type: 'cancelAttempt', attemptId }];
}

/** Removes the move of the request's KV cache, if one is in progress, and its reservation. */
export function removeCacheMove(state: EntryState, requestId: string): void {
  const move = state.reclaims.moves.get(requestId);
  if (move === undefined) return;
  state.reclaims.moves.delete(requestId);
  state.backendServers.get(move.to)?.attemptIds.delete(reservationIdOf(requestId));
}

/**
 * Placeholder among the target's attempt ids for a stream that is being moved there. It counts as
 * load, so that streams migrated at the same time do not all choose this server.
 */
export function reservationIdOf(requestId: string): string {
  return `reserved:${requestId}`;
}

/** Cancels the hedge of a request and counts whether its answer was used. */
function releaseHedge(
  state: EntryState,
  { hedge }: RequestState,
  answeredBy: string | undefined,
): EntryEffect[] {
  if (hedge === undefined) return [];
  const { attemptId } = hedge;
  const label = attemptId === answeredBy ? 'won' : 'lost';
  const count: EntryEffect = { type: 'count', metric: 'hedges', label };
  const attempt = hedge.isRunning ? state.attempts.get(attemptId) : undefined;
  if (attempt === undefined) return [count];
  removeAttempt(state, attempt);
  hedge.isRunning = false;
  return [count, { type: 'cancelAttempt', attemptId }];
}

/**
 * Releases what a request holds when it ends. The attempt of a claimed call keeps running, since
 * its outcome still has to be recorded; all others are cancelled.
 *
 * @param answeredBy - The attempt whose answer the caller received.
 */
export function releaseAttempts(
  state: EntryState,
  requestState: RequestState,
  answeredBy?: string,
): EntryEffect[] {
  const { requestId } = requestState.request;
  state.retries.waiting.delete(requestId);
  removeCacheMove(state, requestId);
  const effects = requiresClaim(requestState.route) ? [] : cancelAttempt(state, requestState);
  effects.push(...releaseHedge(state, requestState, answeredBy));
  requestState.timedOutAttemptIds?.forEach((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    if (attempt === undefined) return;
    removeTimedOutAttempt(state, attempt);
    effects.push({ type: 'cancelAttempt', attemptId });
  });
  return effects;
}

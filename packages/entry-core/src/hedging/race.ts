/** The two attempts of a hedged request: which of them still run, and what ends them. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import { removeAttempt } from '../attempts/releaseAttempts.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { recordDuration } from './observeDurations.js';

/** True if the attempt is the current one of its request, or a hedge that runs beside that. */
export function isRunningFor(
  { attemptId, hedge }: RequestState,
  { attemptId: id }: Pick<AttemptState, 'attemptId'>,
): boolean {
  return attemptId === id || (hedge?.isRunning === true && hedge.attemptId === id);
}

/**
 * Removes an attempt that has failed if the other one of a hedged request runs on, which is then the
 * current one. Returns false if no other attempt runs.
 */
export function leaveRace(requestState: RequestState, attemptId: string): boolean {
  const { hedge } = requestState;
  if (hedge?.isRunning !== true) return false;
  hedge.isRunning = false;
  if (attemptId !== hedge.attemptId) requestState.attemptId = hedge.attemptId;
  return true;
}

function cancelLoser(
  state: EntryState,
  requestState: RequestState,
  attemptId: string,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const loser = state.attempts.get(attemptId);
  if (loser === undefined) return [];
  recordDuration(state, requestState, loser, now);
  removeAttempt(state, loser);
  requestState.maybeSent = true;
  return [{ type: 'cancelAttempt', attemptId }];
}

/** Makes an attempt the only one of its request and cancels the other one, if it runs. */
export function winRace(
  state: EntryState,
  requestState: RequestState,
  { attemptId }: Pick<AttemptState, 'attemptId'>,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { hedge } = requestState;
  if (hedge?.isRunning !== true) return [];
  const loserId = attemptId === hedge.attemptId ? requestState.attemptId : hedge.attemptId;
  hedge.isRunning = false;
  requestState.attemptId = attemptId;
  return loserId === undefined ? [] : cancelLoser(state, requestState, loserId, now);
}

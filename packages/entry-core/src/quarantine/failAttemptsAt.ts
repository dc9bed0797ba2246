/**
 * Fails the attempts at a crashed backend server immediately instead of waiting for each
 * connection to time out: a host that disappears resets no connections.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { AttemptState } from '../attempts/AttemptState.js';
import { failAttempt } from '../attempts/failAttempt.js';

/**
 * True if the caller may have received part of a plain service's answer, which no other backend
 * server can resume.
 */
function hasPartialPlainServiceAnswer(state: EntryState, attempt: AttemptState): boolean {
  const requestState = state.requests.get(attempt.requestId);
  if (attempt.isHeld === true) return false;
  return requestState?.pool.kind === 'plainService' && attempt.firstTokenAt !== undefined;
}

function failAsLost(
  state: EntryState,
  attempt: AttemptState,
  timestamps: Timestamps,
): EntryEffect[] {
  const { attemptId, tokens } = attempt;
  const { now, wallNow } = timestamps;
  const failedEvent = {
    type: 'attemptFailed',
    attemptId,
    failure: 'connectionLost',
    sent: 'maybe',
    tokens,
    answerStarted: hasPartialPlainServiceAnswer(state, attempt),
    now,
    wallNow,
  } as const;
  return [{ type: 'cancelAttempt', attemptId }, ...failAttempt(state, attempt, failedEvent)];
}

/**
 * Fails the attempts of idempotent requests only. Any other call keeps its connection, which alone
 * can still deliver its outcome.
 */
export function failAttemptsAt(
  state: EntryState,
  instance: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const attemptIds = [...(state.backendServers.get(instance)?.attemptIds ?? [])];
  return attemptIds.flatMap((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    const requestState = attempt && state.requests.get(attempt.requestId);
    if (attempt === undefined || requestState?.route.idempotent !== true) return [];
    return failAsLost(state, attempt, timestamps);
  });
}

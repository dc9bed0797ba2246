/**
 * Ends the attempts at a dead backend server without waiting for each of their connections: those of
 * a host that vanished would take their whole time-out to be noticed.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { AttemptState } from '../attempts/AttemptState.js';
import { failAttempt } from '../attempts/failAttempt.js';

/** Bytes of a plain service's answer cannot be continued by another. */
function hasStartedPlainAnswer(state: EntryState, attempt: AttemptState): boolean {
  const accepted = state.requests.get(attempt.requestId);
  return accepted?.pool.kind === 'plainService' && attempt.firstTokenAt !== undefined;
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
    answerStarted: hasStartedPlainAnswer(state, attempt),
    now,
    wallNow,
  } as const;
  return [{ type: 'cancelAttempt', attemptId }, ...failAttempt(state, attempt, failedEvent)];
}

/** A call that may not be repeated is left to its own connection, which alone can tell its outcome. */
export function failAttemptsAt(
  state: EntryState,
  instance: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const attemptIds = [...(state.backendServers.get(instance)?.attemptIds ?? [])];
  return attemptIds.flatMap((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    const accepted = attempt && state.requests.get(attempt.requestId);
    if (attempt === undefined || accepted?.route.idempotent !== true) return [];
    return failAsLost(state, attempt, timestamps);
  });
}

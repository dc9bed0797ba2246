/** Begins to find out what became of a backend server: who is in progress there is kept. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { ConnectionLoss } from './QuarantineState.js';

function membersAt(
  state: EntryState,
  instance: string,
  now: MonotonicMilliseconds,
  exceptAttemptId: string | undefined,
): ConnectionLoss['members'] {
  const members: ConnectionLoss['members'] = new Map();
  state.backendServers.get(instance)?.attemptIds.forEach((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    const request = attempt && state.requests.get(attempt.requestId)?.request;
    if (attempt === undefined || request === undefined) return;
    if (attemptId === exceptAttemptId) return;
    members.set(request.digest, { exposure: now - attempt.startedAt, tokens: attempt.tokens });
  });
  return members;
}

export function openLoss(
  state: EntryState,
  instance: string,
  now: MonotonicMilliseconds,
  exceptAttemptId?: string,
): ConnectionLoss {
  const members = membersAt(state, instance, now, exceptAttemptId);
  const loss = { instance, openedAt: now, members, reset: new Set<string>() };
  state.quarantine.unresolvedLosses.set(instance, loss);
  return loss;
}

/** Adds an unresolved connection loss, with the requests in progress on the backend server. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { ConnectionLoss } from './QuarantineState.js';

function listRequestsInProgress(
  state: EntryState,
  instance: string,
  now: MonotonicMilliseconds,
  excludedAttemptId: string | undefined,
): ConnectionLoss['requestsInProgress'] {
  const requestsInProgress: ConnectionLoss['requestsInProgress'] = new Map();
  state.backendServers.get(instance)?.attemptIds.forEach((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    const request = attempt && state.requests.get(attempt.requestId)?.request;
    if (attempt === undefined || request === undefined) return;
    if (attemptId === excludedAttemptId) return;
    requestsInProgress.set(request.digest, {
      exposure: now - attempt.startedAt,
      tokens: attempt.tokens,
    });
  });
  return requestsInProgress;
}

export function addUnresolvedLoss(
  state: EntryState,
  instance: string,
  now: MonotonicMilliseconds,
  excludedAttemptId?: string,
): ConnectionLoss {
  const requestsInProgress = listRequestsInProgress(state, instance, now, excludedAttemptId);
  const loss = {
    instance,
    openedAt: now,
    requestsInProgress,
    resetDigests: new Set<string>(),
  };
  state.quarantine.unresolvedLosses.set(instance, loss);
  return loss;
}

/** Adds an unresolved connection loss, with the requests in progress on the backend server. */
import type { MonotonicMilliseconds, UnansweredRequest } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { isPastBeginning } from './parts/beginning.js';
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

function listUnanswered(
  state: EntryState,
  instance: string,
  now: MonotonicMilliseconds,
  excludedAttemptId: string | undefined,
): UnansweredRequest[] | undefined {
  const attemptIds = [...(state.backendServers.get(instance)?.attemptIds ?? [])];
  const withParts = attemptIds.flatMap((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    const request = attempt && state.requests.get(attempt.requestId)?.request;
    if (attemptId === excludedAttemptId || attempt === undefined) return [];
    if (request?.sharedParts === undefined || request.sharedParts.length === 0) return [];
    const unanswered = { digest: request.digest, parts: request.sharedParts };
    return [{ unanswered, hasBegun: isPastBeginning(attempt, now) }];
  });
  if (withParts.length === 0) return undefined;
  return withParts.flatMap(({ unanswered, hasBegun }) => (hasBegun ? [] : [unanswered]));
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
    unanswered: listUnanswered(state, instance, now, excludedAttemptId),
  };
  state.quarantine.unresolvedLosses.set(instance, loss);
  return loss;
}

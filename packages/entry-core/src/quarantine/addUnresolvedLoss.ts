/** Adds an unresolved connection loss, with the requests in progress on the backend server. */
import type { MonotonicMilliseconds, UnansweredRequest } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { isPastBeginning } from './parts/beginning.js';
import type { AttemptInProgress, ConnectionLoss } from './QuarantineState.js';

function listAttemptsInProgress(
  state: EntryState,
  instance: string,
  now: MonotonicMilliseconds,
): Map<string, AttemptInProgress> {
  const attempts = new Map<string, AttemptInProgress>();
  state.backendServers.get(instance)?.attemptIds.forEach((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    const request = attempt && state.requests.get(attempt.requestId)?.request;
    if (attempt === undefined || request === undefined) return;
    attempts.set(attemptId, {
      digest: request.digest,
      exposure: now - attempt.startedAt,
      tokens: attempt.tokens,
      parts: request.sharedParts ?? [],
      hasBegun: isPastBeginning(attempt, now),
    });
  });
  return attempts;
}

function listRequestsInProgress(
  attempts: ReadonlyMap<string, AttemptInProgress>,
): ConnectionLoss['requestsInProgress'] {
  return new Map(
    [...attempts.values()].map(({ digest, exposure, tokens }) => [digest, { exposure, tokens }]),
  );
}

function listUnanswered(
  attempts: ReadonlyMap<string, AttemptInProgress>,
): UnansweredRequest[] | undefined {
  const withParts = [...attempts.values()].filter(({ parts }) => parts.length > 0);
  if (withParts.length === 0) return undefined;
  return withParts
    .filter(({ hasBegun }) => !hasBegun)
    .map(({ digest, parts }) => ({ digest, parts }));
}

export function addUnresolvedLoss(
  state: EntryState,
  instance: string,
  now: MonotonicMilliseconds,
): ConnectionLoss {
  const attemptsInProgress = listAttemptsInProgress(state, instance, now);
  const loss = {
    instance,
    openedAt: now,
    attemptsInProgress,
    requestsInProgress: listRequestsInProgress(attemptsInProgress),
    resetDigests: new Set<string>(),
    unanswered: listUnanswered(attemptsInProgress),
  };
  state.quarantine.unresolvedLosses.set(instance, loss);
  return loss;
}

/** Removes an attempt of which nothing reached the server, so that it cannot have caused the loss. */
export function removeFromLoss(loss: ConnectionLoss, attemptId: string): void {
  if (!loss.attemptsInProgress.delete(attemptId)) return;
  loss.requestsInProgress = listRequestsInProgress(loss.attemptsInProgress);
  loss.unanswered = listUnanswered(loss.attemptsInProgress);
}

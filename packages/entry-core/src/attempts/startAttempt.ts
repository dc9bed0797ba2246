/**
 * Starts the next attempt of a request. If no backend server can take it now, the request is
 * queued, waits until one becomes usable, or fails.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { enqueue } from '../admission/enqueue.js';
import { placeRequest } from '../admission/placeRequest.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { lastServedAt } from '../backendServers/nextTokenDueAt.js';
import { findQuarantineEnd } from '../quarantine/quarantineDigest.js';
import { isSuspect, mustDelaySuspect } from '../quarantine/suspects.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import { failBeforeShutdown } from '../shutdown/refuseBeforeShutdown.js';
import { timeUntilRested } from '../statements/restAllowance.js';
import { chooseServerForAttempt, canWaitForBackendServer } from './chooseServerForAttempt.js';
import { launchAttempt } from './launchAttempt.js';

/** Interval at which a request that waits for a backend server tries again. */
const SERVER_RECHECK_MILLISECONDS = 50;

/** Retry delay reported to the caller when no backend server is usable. */
const NO_SERVER_RETRY_AFTER_MILLISECONDS = 2000;

function refuseQuarantined(
  state: EntryState,
  requestState: RequestState,
  now: MonotonicMilliseconds,
): EntryEffect[] | undefined {
  const endsAt = findQuarantineEnd(state, requestState);
  if (endsAt === undefined || endsAt <= now) return undefined;
  const detail = 'The request is quarantined because it crashed backend servers';
  return [
    ...(requestState.attemptsStarted === 0 ? [] : countRefusedRetry('quarantined')),
    ...failRequest(state, requestState, 'quarantined', detail, {
      retryAfterMilliseconds: endsAt - now,
    }),
  ];
}

function countRefusedRetry(label: string): EntryEffect[] {
  return [{ type: 'count', metric: 'retriesRefused', label }];
}

function failWithoutServer(state: EntryState, requestState: RequestState): EntryEffect[] {
  const detail = `Pool "${requestState.pool.name}" has no backend server that can take the request`;
  return [
    ...(requestState.attemptsStarted === 0 ? [] : countRefusedRetry('noOtherBackendServer')),
    ...failRequest(state, requestState, 'noBackendServer', detail, {
      retryAfterMilliseconds:
        timeUntilRested(state, requestState.pool.name) || NO_SERVER_RETRY_AFTER_MILLISECONDS,
    }),
  ];
}

/** Schedules another try after the recheck interval; a classified loss triggers it earlier. */
function waitForBackendServer(
  state: EntryState,
  { request }: RequestState,
  now: MonotonicMilliseconds,
): void {
  const { requestId } = request;
  const dueAt = now + SERVER_RECHECK_MILLISECONDS;
  state.retries.waiting.set(requestId, { requestId, waitsFor: 'backendServer', dueAt });
}

/** True if the caller of a stream that it takes up has given up waiting for the rest. */
function isTakenUpTooLate(requestState: RequestState, now: MonotonicMilliseconds): boolean {
  const { isTakenUp = false, attemptsStarted } = requestState;
  return isTakenUp && attemptsStarted === 0 && now >= lastServedAt(requestState);
}

/**
 * True for a suspect that its caller takes up. It waits for its turn at a server, not for capacity: in
 * the queue it would delay the requests behind it.
 */
function waitsForTurn(state: EntryState, { request, isTakenUp }: RequestState): boolean {
  return (
    isTakenUp === true && state.retries.policy.isolateSuspects && isSuspect(state, request.digest)
  );
}

/**
 * @param chosenServer - The backend server, if admission has already chosen one.
 */
export function startAttempt(
  state: EntryState,
  requestState: RequestState,
  now: MonotonicMilliseconds,
  chosenServer?: BackendServerState,
): EntryEffect[] {
  const refusal = refuseQuarantined(state, requestState, now);
  if (refusal !== undefined) return refusal;
  const ended = failBeforeShutdown(state, requestState, now);
  if (ended !== undefined) return ended;
  if (isTakenUpTooLate(requestState, now)) return failWithoutServer(state, requestState);
  if (state.retries.policy.isolateSuspects && mustDelaySuspect(state, requestState, now)) {
    waitForBackendServer(state, requestState, now);
    return [];
  }
  if (chosenServer !== undefined) return launchAttempt(state, requestState, chosenServer, now);
  const placement = placeRequest(state, requestState, now);
  if (placement.type === 'start') return launchAttempt(state, requestState, placement.server, now);
  if (placement.type === 'wait') {
    if (!waitsForTurn(state, requestState)) return enqueue(state, requestState, now);
    waitForBackendServer(state, requestState, now);
    return [];
  }
  const server = chooseServerForAttempt(state, requestState);
  if (server !== undefined) return launchAttempt(state, requestState, server, now);
  if (!canWaitForBackendServer(state, requestState, now))
    return failWithoutServer(state, requestState);
  waitForBackendServer(state, requestState, now);
  return [];
}

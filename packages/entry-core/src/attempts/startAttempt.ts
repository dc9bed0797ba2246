/**
 * Starts the next attempt of a request. If no backend server can take it now, the request is queued
 * or waits for one; if none can take it before its deadline, the request fails.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { enqueue } from '../admission/enqueue.js';
import { placeRequest } from '../admission/placeRequest.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { mustDelaySuspect } from '../quarantine/suspects.js';
import { failRequest } from '../requests/endRequest.js';
import { determineRan } from '../requests/determineRan.js';
import type { RequestState } from '../requests/RequestState.js';
import { chooseServerForAttempt, canWaitForBackendServer } from './chooseServerForAttempt.js';
import { launchAttempt } from './launchAttempt.js';

/** Interval at which a request that waits for a backend server tries again. */
const SERVER_RECHECK_MILLISECONDS = 50;

/** `Retry-After` of a request that fails because its pool has no usable backend server. */
const NO_SERVER_RETRY_AFTER_MILLISECONDS = 2000;

function refuseQuarantined(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EntryEffect[] | undefined {
  const quarantined = state.quarantine.quarantined.get(accepted.request.digest);
  if (quarantined === undefined || quarantined.endsAt <= now) return undefined;
  const detail = 'The request is quarantined because it crashed backend servers';
  return [
    ...(accepted.attemptsStarted === 0 ? [] : countRefusedRetry('quarantined')),
    ...failRequest(state, accepted, 'quarantined', detail, {
      ran: determineRan(accepted),
      retryAfterMilliseconds: quarantined.endsAt - now,
    }),
  ];
}

function countRefusedRetry(label: string): EntryEffect[] {
  return [{ type: 'count', metric: 'retriesRefused', label }];
}

function failWithoutServer(state: EntryState, accepted: RequestState): EntryEffect[] {
  const detail = `Pool "${accepted.pool.name}" has no backend server that can take the request`;
  return [
    ...(accepted.attemptsStarted === 0 ? [] : countRefusedRetry('noOtherBackendServer')),
    ...failRequest(state, accepted, 'noBackendServer', detail, {
      ran: determineRan(accepted),
      retryAfterMilliseconds: NO_SERVER_RETRY_AFTER_MILLISECONDS,
    }),
  ];
}

/** Tries the request again after the recheck interval, or earlier when a loss is classified. */
function waitForBackendServer(
  state: EntryState,
  { request }: RequestState,
  now: MonotonicMilliseconds,
): void {
  const { requestId } = request;
  const dueAt = now + SERVER_RECHECK_MILLISECONDS;
  state.retries.waiting.set(requestId, { requestId, waitsFor: 'backendServer', dueAt });
}

/**
 * @param chosenServer - The backend server, if admission has already chosen one.
 */
export function startAttempt(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
  chosenServer?: BackendServerState,
): EntryEffect[] {
  const refusal = refuseQuarantined(state, accepted, now);
  if (refusal !== undefined) return refusal;
  if (
    state.retries.policy.isolateSuspects &&
    mustDelaySuspect(state, accepted.request.digest, now)
  ) {
    waitForBackendServer(state, accepted, now);
    return [];
  }
  if (chosenServer !== undefined) return launchAttempt(state, accepted, chosenServer, now);
  const placement = placeRequest(state, accepted, now);
  if (placement.type === 'start') return launchAttempt(state, accepted, placement.server, now);
  if (placement.type === 'wait') return enqueue(state, accepted, now);
  const server = chooseServerForAttempt(state, accepted);
  if (server !== undefined) return launchAttempt(state, accepted, server, now);
  if (!canWaitForBackendServer(state, accepted, now)) return failWithoutServer(state, accepted);
  waitForBackendServer(state, accepted, now);
  return [];
}

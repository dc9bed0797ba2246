/**
 * Starts the next attempt of a request, lets it wait for a backend server, or ends it if there is
 * nowhere to try it.
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

/** How soon a request that waits for a backend server looks again. */
const SERVER_RECHECK_MILLISECONDS = 50;

/** When to come back to a pool that has no backend server left. */
const NO_SERVER_RETRY_AFTER_MILLISECONDS = 2000;

function refuseQuarantined(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EntryEffect[] | undefined {
  const quarantined = state.quarantine.quarantined.get(accepted.request.digest);
  if (quarantined === undefined || quarantined.endsAt <= now) return undefined;
  const detail = 'This request crashed backend servers and is kept from them for a while';
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
  const detail = `Pool "${accepted.pool.name}" has no backend server left to try`;
  return [
    ...(accepted.attemptsStarted === 0 ? [] : countRefusedRetry('noOtherBackendServer')),
    ...failRequest(state, accepted, 'noBackendServer', detail, {
      ran: determineRan(accepted),
      retryAfterMilliseconds: NO_SERVER_RETRY_AFTER_MILLISECONDS,
    }),
  ];
}

/** Has a request try again with a later tick, or as soon as a loss has been judged. */
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
 * @param chosenServer - The backend server, where admission has chosen it already.
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

/**
 * Requests that reach an entry before its configuration does. After a loss of power entries and
 * stores start together, and the stores need a moment to elect a leader. A caller that is refused
 * then has often used up its one retry on the fault itself, and is lost for the sake of a few
 * hundred milliseconds. So a young entry keeps such requests for that long; one that is cut off
 * from the stores gets no configuration however long it waits, and refuses at once.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { refuseRequest } from '../requests/endRequest.js';

/** An entry waits for stores that start with it; these serve within two seconds of their start. */
const STARTUP_PERIOD_MILLISECONDS: Milliseconds = 2000;

/**
 * Longest wait of one request. Callers that wait three seconds in all are still served in time
 * after it, and those that wait longer in good time.
 */
const MAX_WAIT_MILLISECONDS: Milliseconds = 700;

/** Of the caller's patience, the share that may be spent waiting. */
const MAX_WAIT_FRACTION_OF_PATIENCE = 1 / 3;

/** When a caller may come back to an entry that has not been told a configuration yet. */
const NOT_CONFIGURED_RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

/** A request that waits for the configuration. */
export interface RequestAwaitingConfiguration {
  readonly request: CallerRequest;
  readonly arrivedAt: MonotonicMilliseconds;
  readonly waitsUntil: MonotonicMilliseconds;
}

function refuseNotConfigured(request: CallerRequest): EntryEffect[] {
  const problem = { retryAfterMilliseconds: NOT_CONFIGURED_RETRY_AFTER_MILLISECONDS };
  return refuseRequest(request, 'notConfigured', 'No configuration is known here yet', problem);
}

/** Keeps the request for a while, or refuses it. */
export function awaitConfiguration(
  state: EntryState,
  request: CallerRequest,
  { now, wallNow }: Timestamps,
): EntryEffect[] {
  const { requestsAwaitingConfiguration: pending, identity } = state;
  const startupTimeLeft = STARTUP_PERIOD_MILLISECONDS - (wallNow - identity.incarnation);
  const maxWaitForCaller = (request.patience ?? Infinity) * MAX_WAIT_FRACTION_OF_PATIENCE;
  const wait = Math.min(startupTimeLeft, MAX_WAIT_MILLISECONDS, maxWaitForCaller);
  const hasCapacity = pending.size < identity.maxQueuedRequests;
  if (wait <= 0 || !hasCapacity) return refuseNotConfigured(request);
  const { requestId } = request;
  pending.set(requestId, { request, arrivedAt: now, waitsUntil: now + wait });
  return [{ type: 'log', event: 'requestAwaitsConfiguration', fields: { requestId, wait } }];
}

/** Refuses those that have waited long enough, and all of them once the entry shuts down. */
export function expireAwaitingConfiguration(
  state: EntryState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { requestsAwaitingConfiguration: pending, shuttingDown } = state;
  const expired = [...pending.values()].filter(
    ({ waitsUntil }) => shuttingDown || waitsUntil <= now,
  );
  return expired.flatMap(({ request }) => {
    pending.delete(request.requestId);
    return refuseNotConfigured(request);
  });
}

/** Takes out all that wait, in order of arrival, now that there is a configuration. */
export function takeAwaitingConfiguration(state: EntryState): RequestAwaitingConfiguration[] {
  const pending = [...state.requestsAwaitingConfiguration.values()];
  state.requestsAwaitingConfiguration.clear();
  return pending;
}

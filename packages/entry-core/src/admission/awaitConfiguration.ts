/**
 * Holds requests that arrive before the first configuration. After a power loss, entries and stores
 * start together, and the stores first elect a leader. Callers have often used up their retries by
 * then, so an entry that has just started holds requests for a short time instead of refusing them.
 * Later it refuses them immediately: it is probably partitioned from the stores.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { refuseRequest } from '../requests/endRequest.js';

/**
 * How long after its start an entry holds requests; stores that start with it are ready by then.
 */
const STARTUP_PERIOD_MILLISECONDS: Milliseconds = 2000;

/** A caller with a timeout of three seconds still has enough time to be served after this wait. */
const MAX_WAIT_MILLISECONDS: Milliseconds = 700;

const MAX_WAIT_FRACTION_OF_PATIENCE = 1 / 3;

const NOT_CONFIGURED_RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

export interface RequestAwaitingConfiguration {
  readonly request: CallerRequest;
  readonly arrivedAt: MonotonicMilliseconds;
  readonly waitsUntil: MonotonicMilliseconds;
}

function refuseNotConfigured(request: CallerRequest): EntryEffect[] {
  const problem = { retryAfterMilliseconds: NOT_CONFIGURED_RETRY_AFTER_MILLISECONDS };
  return refuseRequest(
    request,
    'notConfigured',
    'This entry has not received a configuration yet',
    problem,
  );
}

/** Holds the request for a limited time, or refuses it. */
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

/** Refuses the requests held for too long, or all of them once the entry refuses new requests. */
export function expireAwaitingConfiguration(
  state: EntryState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { requestsAwaitingConfiguration: pending, refusesNewRequests } = state;
  const expired = [...pending.values()].filter(
    ({ waitsUntil }) => refusesNewRequests || waitsUntil <= now,
  );
  return expired.flatMap(({ request }) => {
    pending.delete(request.requestId);
    return refuseNotConfigured(request);
  });
}

/** Removes and returns all held requests, in order of arrival. */
export function takeAwaitingConfiguration(state: EntryState): RequestAwaitingConfiguration[] {
  const pending = [...state.requestsAwaitingConfiguration.values()];
  state.requestsAwaitingConfiguration.clear();
  return pending;
}

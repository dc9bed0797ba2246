/**
 * Graceful shutdown. The entry reports its shutdown to its peers, and until `acceptUntil` it still
 * accepts requests, because the load balancer has not noticed yet and callers would see a planned
 * shutdown as an outage. A request that is not expected to end in time is refused before it runs.
 * Streams then run to their end. What is still in progress shortly before the platform's time limit
 * gets a final answer with which the caller can continue elsewhere.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportAtOnce } from '../membership/advanceReports.js';
import { failRequest, refuseRequest } from '../requests/endRequest.js';
import { determineRan } from '../requests/determineRan.js';
import type { RequestState } from '../requests/RequestState.js';
import { takeAllHeld } from '../streamVersions/heldTakeUps.js';
import {
  failWaitingBeforeShutdown,
  SHUTDOWN_RETRY_AFTER_MILLISECONDS,
} from './refuseBeforeShutdown.js';

export function startShutdown(
  state: EntryState,
  event: Extract<EntryEvent, { type: 'shutdownStarted' }>,
): EntryEffect[] {
  state.shutdown.started = true;
  state.shutdown.acceptUntil = event.acceptUntil ?? event.now;
  state.shutdown.endAt = event.endAt ?? Number.POSITIVE_INFINITY;
  reportAtOnce(state);
  return advanceShutdown(state, event);
}

function failRemainingRequest(state: EntryState, accepted: RequestState): EntryEffect[] {
  const detail = 'This instance is stopping; send the request again to continue';
  const kind = determineRan(accepted) === 'no' ? 'draining' : 'answerCut';
  const problem = { retryAfterMilliseconds: SHUTDOWN_RETRY_AFTER_MILLISECONDS };
  return failRequest(state, accepted, kind, detail, problem);
}

function failRemainingRequests(state: EntryState): EntryEffect[] {
  const requests = [...state.requests.values()];
  if (requests.length === 0) return [];
  return [
    { type: 'log', event: 'shutdownLimitReached', fields: { requests: requests.length } },
    ...requests.flatMap((accepted) => failRemainingRequest(state, accepted)),
  ];
}

/** The caller of a request that is held can be served at another entry at once. */
function refuseHeldRequests(state: EntryState): EntryEffect[] {
  const retryAfterMilliseconds = SHUTDOWN_RETRY_AFTER_MILLISECONDS;
  const problem = { ran: 'no', retryAfterMilliseconds } as const;
  return takeAllHeld(state).flatMap(({ request }) =>
    refuseRequest(request, 'draining', 'This instance is shutting down', problem),
  );
}

export function advanceShutdown(state: EntryState, { now }: Timestamps): EntryEffect[] {
  const { shutdown } = state;
  if (!shutdown.started) return [];
  state.refusesNewRequests = shutdown.acceptUntil <= now;
  const effects = [
    ...(state.refusesNewRequests ? refuseHeldRequests(state) : []),
    ...(shutdown.endAt <= now
      ? failRemainingRequests(state)
      : failWaitingBeforeShutdown(state, now)),
  ];
  // Until the stores have recorded the outcome of a claimed call, a resend of it would be answered
  // with `ran: 'unknown'`.
  const mustWaitForClaims = state.claims.size > 0 && now < shutdown.endAt;
  const heldRequests =
    state.requestsAwaitingConfiguration.size +
    state.requestsAwaitingAcknowledgement.size +
    state.takeUpsAwaitingOrigin.size +
    state.takeUpsAwaitingList.size;
  const inProgress = state.requests.size + heldRequests > 0 || mustWaitForClaims;
  if (!state.refusesNewRequests || inProgress || shutdown.readyReported) return effects;
  shutdown.readyReported = true;
  return [...effects, { type: 'shutdownReady' }];
}

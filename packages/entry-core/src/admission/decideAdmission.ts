/**
 * Decides whether an arriving request is accepted, and when the caller of a refused one should
 * retry. A request is accepted only if it is predicted to meet its deadline, or can still be served
 * late.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { canWaitForBackendServer } from '../attempts/chooseServerForAttempt.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { refuseArrivalBeforeShutdown } from '../shutdown/refuseBeforeShutdown.js';
import { canLend, decideByShare, refuseByShare, scheduleRetry } from './applyShare.js';
import type { EarlyRefusal } from './EarlyRefusal.js';
import { findDisplaceable } from './displaceQueued.js';
import type { QueuedRequest } from './FairQueue.js';
import { placeRequest, type Placement } from './placeRequest.js';
import { makeQueuedRequest, PREDICTION_TOLERANCE, predictWait } from './predictWait.js';
import { refuseLateInQueue, refuseOverQueue } from './refuseByQueue.js';
import { refuseLateStart, refuseWithoutServer } from './refuseByServers.js';
import { refuseOverAllowance, refuseOverLimit } from './refuseOverLimits.js';
import { canServeLate } from './serveLate.js';

/** The refusal, or how the request is served. */
export type AdmissionDecision =
  | { readonly type: 'refused'; readonly refusal: EarlyRefusal }
  | {
      readonly type: 'admitted';
      readonly server: BackendServerState | undefined;
      /** True if it is beyond its share of a contended pool, but a server has capacity for it. */
      readonly isLent?: boolean;
      /** A less urgent request in the full queue, whose place it takes. */
      readonly displaced?: QueuedRequest | undefined;
    }
  /** It will miss its deadline and is served after the requests that can meet theirs. */
  | { readonly type: 'late' };

function toDecision(
  refusal: EarlyRefusal | undefined,
  server?: BackendServerState,
  isLent = false,
): Exclude<AdmissionDecision, { type: 'late' }> {
  return refusal === undefined
    ? { type: 'admitted', server, isLent }
    : { type: 'refused', refusal };
}

/** In a contended pool, all refusals for lack of capacity take their retry times from one schedule. */
function withScheduledRetry(
  state: EntryState,
  accepted: RequestState,
  refusal: EarlyRefusal,
  now: MonotonicMilliseconds,
): EarlyRefusal {
  const lacksCapacity = refusal.kind === 'deadlineUnreachable' || refusal.kind === 'overloaded';
  if (!lacksCapacity || refusal.isBeyondShare === true) return refusal;
  const retryAfterMilliseconds = scheduleRetry(state, accepted, now);
  return retryAfterMilliseconds === undefined ? refusal : { ...refusal, retryAfterMilliseconds };
}

/**
 * Decides on the rest of a stream. It was admitted when it began, its caller is reading, and it is served
 * before new requests, so that it is refused only where no server can take it.
 */
function decideTakenUp(
  state: EntryState,
  accepted: RequestState,
  placement: Placement,
  now: MonotonicMilliseconds,
): Exclude<AdmissionDecision, { type: 'late' }> {
  if (placement.type === 'start') return toDecision(undefined, placement.server);
  const canWait = placement.type === 'wait' || canWaitForBackendServer(state, accepted, now);
  return toDecision(canWait ? undefined : refuseWithoutServer(state, accepted, now));
}

function decideWithoutLateService(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Exclude<AdmissionDecision, { type: 'late' }> {
  const overAllowance = refuseOverAllowance(state, accepted);
  if (overAllowance !== undefined) return toDecision(overAllowance);
  const overLimit = refuseOverLimit(state, accepted, now);
  if (overLimit !== undefined) return toDecision(overLimit);
  const placement = placeRequest(state, accepted, now);
  if (accepted.isTakenUp === true) return decideTakenUp(state, accepted, placement, now);
  if (placement.type === 'none') return toDecision(refuseWithoutServer(state, accepted, now));
  const share = decideByShare(state, accepted, now);
  const isBeyondShare = share?.isWithin === false;
  if (isBeyondShare && !canLend(state, accepted, placement)) {
    return toDecision(refuseByShare(state, accepted, share, now));
  }
  if (placement.type === 'start') {
    const { server } = placement;
    return toDecision(refuseLateStart(state, accepted, server, now), server, isBeyondShare);
  }
  const overQueue = refuseOverQueue(state, accepted, now);
  const displaced = overQueue === undefined ? undefined : findDisplaceable(state, accepted);
  if (overQueue !== undefined && displaced === undefined) return toDecision(overQueue);
  const { availableServer: available } = placement;
  // While a server has capacity, the queue holds only requests that wait briefly for a cached
  // prefix.
  if (available !== undefined) return toDecision(refuseLateStart(state, accepted, available, now));
  const late = refuseLateInQueue(state, accepted, now);
  return late === undefined ? { type: 'admitted', server: undefined, displaced } : toDecision(late);
}

/** Refuses a request whose predicted wait would let the time limit of a shutdown cut it. */
function refuseWaitBeforeShutdown(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  if (!state.shutdown.started) return undefined;
  const predicted = predictWait(state, makeQueuedRequest(state, accepted));
  const wait = predicted * (1 - PREDICTION_TOLERANCE);
  return refuseArrivalBeforeShutdown(state, accepted, wait, now);
}

/**
 * Decides on a request; one that cannot meet its deadline is served late if that is still useful.
 */
export function decideAdmission(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): AdmissionDecision {
  const unfinishable = refuseArrivalBeforeShutdown(state, accepted, 0, now);
  if (unfinishable !== undefined) return toDecision(unfinishable);
  const decision = decideWithoutLateService(state, accepted, now);
  if (decision.type === 'admitted') {
    if (decision.server !== undefined) return decision;
    const tooLate = refuseWaitBeforeShutdown(state, accepted, now);
    return tooLate === undefined ? decision : toDecision(tooLate);
  }
  const { refusal } = decision;
  if (refusal.kind === 'deadlineUnreachable' && canServeLate(state, accepted, now)) {
    return { type: 'late' };
  }
  return toDecision(withScheduledRetry(state, accepted, refusal, now));
}

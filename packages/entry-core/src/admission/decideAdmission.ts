/**
 * Decides whether an arriving request is accepted, and when the caller of a refused one should
 * retry. A request is accepted only if it is predicted to meet its deadline, or can still be served
 * late.
 */
import type {
  ErrorKind,
  LogFields,
  Milliseconds,
  MonotonicMilliseconds,
} from '@hornbeampond/schema';
import { nextTokenDueAt } from '../backendServers/chooseBackendServer.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import {
  describePrediction,
  isPredictionTrusted,
  predictFirstTokenDelay,
} from '../backendServers/predictFirstTokenDelay.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryState } from '../EntryState.js';
import { checkAllowance } from '../limits/checkAllowance.js';
import { timeUntilRested } from '../statements/restAllowance.js';
import { limitKey, limitOf } from '../limits/limitOf.js';
import type { RequestState } from '../requests/RequestState.js';
import { countQueuedRequests, getPoolQueue } from './AdmissionState.js';
import { placeRequest } from './placeRequest.js';
import {
  estimateSlots,
  makeQueuedRequest,
  predictWait,
  expectedFirstTokenDelay,
} from './predictWait.js';
import { MAX_RETRY_AFTER_MILLISECONDS, assignRetryAfter } from './assignRetryAfter.js';
import { canServeLate } from './serveLate.js';

export interface EarlyRefusal {
  readonly kind: ErrorKind;
  readonly detail: string;
  readonly retryAfterMilliseconds: Milliseconds;
  /** The values the decision is based on, for the log. */
  readonly facts: LogFields;
  /** True if the request may be accepted once a store has acknowledged earlier spending. */
  readonly awaitsAcknowledgement?: boolean;
}

/** Without a backend server no wait can be predicted; a new instance starts in about this time. */
const NO_BACKEND_SERVER_RETRY_AFTER_MILLISECONDS: Milliseconds = 5000;

const MAX_QUEUED_PER_FREE_POSITION = 2;

function refuseOverAllowance(state: EntryState, accepted: RequestState): EarlyRefusal | undefined {
  const exceeded = checkAllowance(state, accepted);
  if (exceeded === undefined) return undefined;
  const detail = `Workspace "${accepted.request.workspace}" has spent its allowance`;
  const { retryAfterMilliseconds, facts, awaitsAcknowledgement } = exceeded;
  return {
    kind: 'allowanceSpent',
    detail,
    retryAfterMilliseconds,
    facts: { ...facts },
    awaitsAcknowledgement,
  };
}

function refuseOverLimit(
  state: EntryState,
  { request, route, pool }: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const limit = limitOf(route, request.workspace);
  const key = limitKey(route.name, request.workspace);
  const { concurrencyLimiter: limiter } = state.limits;
  if (limiter.hasCapacity(key, limit, now)) return undefined;
  const detail = `Workspace "${request.workspace}" has ${limit} requests in progress`;
  const serviceTime = getPoolState(state, pool.name).estimateBusyServiceTime(route.name);
  const interval =
    limit === 0
      ? MAX_RETRY_AFTER_MILLISECONDS
      : serviceTime / Math.max(1, limiter.ownInProgress(key));
  const retryAfterMilliseconds = assignRetryAfter(state, `limit/${key}`, interval, interval, now);
  const facts = { limit, inProgress: limiter.ownInProgress(key) };
  return { kind: 'limitReached', detail, retryAfterMilliseconds, facts };
}

/**
 * Refuses a workspace that has more requests queued than twice the free positions of the queue.
 * With a fixed maximum alone, one workspace could fill the queue, and all other callers would be
 * refused.
 */
function refuseOverQueue(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const { workspace } = accepted.request;
  const queue = getPoolQueue(state, accepted.pool.name);
  const free = state.identity.maxQueuedRequests - countQueuedRequests(state);
  const ownQueued = queue.countForWorkspace(workspace);
  const excess = ownQueued + 1 - Math.min(ownQueued + free, MAX_QUEUED_PER_FREE_POSITION * free);
  if (excess <= 0) return undefined;
  const { cost } = makeQueuedRequest(state, accepted);
  const workspaces = Math.max(1, queue.countWorkspaces());
  const interval = (cost * workspaces) / estimateSlots(state, accepted.pool.name);
  const key = `queue/${accepted.pool.name}/${workspace}`;
  const retryAfterMilliseconds = assignRetryAfter(state, key, interval * excess, interval, now);
  const facts = { waiting: ownQueued, free, workspaces };
  return {
    kind: 'overloaded',
    detail: 'Too many requests are queued',
    retryAfterMilliseconds,
    facts,
  };
}

function refuseLateInQueue(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const queued = makeQueuedRequest(state, accepted);
  const wait = predictWait(state, queued);
  const firstTokenDelay = expectedFirstTokenDelay(state, accepted);
  const predicted = wait + firstTokenDelay;
  const lateBy = predicted - (queued.dueAt - now);
  if (lateBy <= 0) return undefined;
  const pool = accepted.pool.name;
  const workspaces = Math.max(1, getPoolQueue(state, pool).countWorkspaces());
  const interval = (queued.cost * workspaces) / estimateSlots(state, pool);
  const key = `queue/${pool}/${accepted.request.workspace}`;
  const retryAfterMilliseconds = assignRetryAfter(state, key, lateBy + interval, interval, now);
  const detail = `The first token is predicted in ${Math.round(predicted)} ms`;
  const slots = estimateSlots(state, pool);
  const facts = { wait, usual: firstTokenDelay, places: slots, patience: queued.dueAt - now };
  return { kind: 'deadlineUnreachable', detail, retryAfterMilliseconds, facts };
}

/** Refuses a request that no server can take; if all of them rest, until they have rested. */
function refuseWithoutServer(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal {
  const pool = accepted.pool.name;
  const rest = timeUntilRested(state, pool);
  const interval = makeQueuedRequest(state, accepted).cost / estimateSlots(state, pool);
  const key = `rest/${pool}/${accepted.request.workspace}`;
  return {
    kind: 'noBackendServer',
    detail: `Pool "${pool}" has no backend server that can take the request`,
    retryAfterMilliseconds:
      rest > 0
        ? assignRetryAfter(state, key, rest, interval, now)
        : NO_BACKEND_SERVER_RETRY_AFTER_MILLISECONDS,
    facts: { pool, rest },
  };
}

function refuseLateStart(
  state: EntryState,
  accepted: RequestState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const { request, pool } = accepted;
  const poolState = getPoolState(state, pool.name);
  const predicted = predictFirstTokenDelay(state, poolState, server, accepted);
  const timeLeft = nextTokenDueAt(accepted) - now;
  if (predicted <= timeLeft || !isPredictionTrusted(poolState, server, timeLeft, now)) {
    return undefined;
  }
  const interval = makeQueuedRequest(state, accepted).cost / estimateSlots(state, pool.name);
  const key = `server/${pool.name}/${request.workspace}`;
  const wait = predicted - timeLeft;
  const retryAfterMilliseconds = assignRetryAfter(state, key, wait, interval, now);
  const detail = `The first token is predicted in ${Math.round(predicted)} ms`;
  const facts = { patience: timeLeft, ...describePrediction(state, poolState, server, accepted) };
  return { kind: 'deadlineUnreachable', detail, retryAfterMilliseconds, facts };
}

/** The refusal, or how the request is served. */
export type AdmissionDecision =
  | { readonly type: 'refused'; readonly refusal: EarlyRefusal }
  | { readonly type: 'admitted'; readonly server: BackendServerState | undefined }
  /** It will miss its deadline and is served after the requests that can meet theirs. */
  | { readonly type: 'late' };

function toDecision(
  refusal: EarlyRefusal | undefined,
  server?: BackendServerState,
): Exclude<AdmissionDecision, { type: 'late' }> {
  return refusal === undefined ? { type: 'admitted', server } : { type: 'refused', refusal };
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
  if (placement.type === 'none') return toDecision(refuseWithoutServer(state, accepted, now));
  if (placement.type === 'start') {
    const { server } = placement;
    return toDecision(refuseLateStart(state, accepted, server, now), server);
  }
  const overQueue = refuseOverQueue(state, accepted, now);
  if (overQueue !== undefined) return toDecision(overQueue);
  const { availableServer: available } = placement;
  // While a server has capacity, the queue holds only requests that wait briefly for a cached
  // prefix.
  if (available !== undefined) return toDecision(refuseLateStart(state, accepted, available, now));
  return toDecision(refuseLateInQueue(state, accepted, now));
}

/**
 * Decides on a request; one that cannot meet its deadline is served late if that is still useful.
 */
export function decideAdmission(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): AdmissionDecision {
  const decision = decideWithoutLateService(state, accepted, now);
  if (decision.type === 'admitted' || decision.refusal.kind !== 'deadlineUnreachable') {
    return decision;
  }
  return canServeLate(state, accepted, now) ? { type: 'late' } : decision;
}

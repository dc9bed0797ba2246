/**
 * Handles an arriving request: refuses it immediately with a reason, or accepts it and starts or
 * queues its first attempt.
 */
import {
  requiresClaim,
  type EpochMilliseconds,
  type Milliseconds,
  type MonotonicMilliseconds,
  type Pool,
  type Route,
} from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { startAttempt } from '../attempts/startAttempt.js';
import { beginClaim } from '../claims/beginClaim.js';
import { refuseRequest } from '../requests/endRequest.js';
import { refuseOverdueArrival } from '../requests/enforceDeadlines.js';
import type { RequestState } from '../requests/RequestState.js';
import { choosePool } from '../routing/choosePool.js';
import { deadlineAt } from '../routing/deadlineAt.js';
import { findRoute } from '../routing/findRoute.js';
import { getRouteIndex } from '../routing/getRouteIndex.js';
import { resolveOrigin, type OriginResolution } from '../streamVersions/resolveOrigin.js';
import { awaitList, awaitOrigin, type TakeUp } from '../streamVersions/heldTakeUps.js';
import { acquireConcurrencySlot } from '../limits/releaseEndedRequests.js';
import { spendAllowance } from '../limits/checkAllowance.js';
import { acknowledgementDueAt, awaitAcknowledgement } from './awaitAcknowledgement.js';
import { awaitConfiguration } from './awaitConfiguration.js';
import { displaceQueued } from './displaceQueued.js';
import { recordArrival } from './reportUse.js';
import { describeResumption, refuseContinuation, reportTakeUp } from './reportTakeUp.js';
import { markLate } from './serveLate.js';
import { decideAdmission, type AdmissionDecision } from './decideAdmission.js';

/** The longest acceptable pause between two tokens, for routes that do not set one. */
const DEFAULT_MAX_PAUSE_MILLISECONDS: Milliseconds = 1000;

/** The route that the request may use, with the request's workspace filled in, or the refusal. */
type Resolution =
  | { readonly type: 'found'; readonly route: Route; readonly request: CallerRequest }
  | { readonly type: 'refused'; readonly effects: EntryEffect[] };

/** Fills in the workspace from the caller's key, if the configuration defines the workspaces. */
function resolveWorkspace(state: EntryState, request: CallerRequest): CallerRequest {
  if (state.configuration.whole === undefined || request.keySha256 === undefined) return request;
  const workspace = getRouteIndex(state).workspaceOfKey(request.keySha256) ?? '';
  return { ...request, workspace };
}

function resolveRoute(state: EntryState, arrived: CallerRequest): Resolution {
  const request = resolveWorkspace(state, arrived);
  const found = findRoute(getRouteIndex(state), request);
  if (found.type === 'found') {
    const { route } = found;
    const isAuthorized = route.public === true || request.workspace !== '';
    if (isAuthorized) return { type: 'found', route, request };
    return {
      type: 'refused',
      effects: refuseRequest(request, 'unauthorized', 'The key is not known'),
    };
  }
  const detail =
    found.type === 'forbidden'
      ? `Workspace "${request.workspace}" may not use this route`
      : `No route matches ${request.path}`;
  return { type: 'refused', effects: refuseRequest(request, found.type, detail) };
}

/** Sets the deadlines of an accepted request: the route's, or the caller's if it is shorter. */
function makeRequestState(
  state: EntryState,
  request: CallerRequest,
  route: Route,
  pool: Pool,
  arrivedAt: MonotonicMilliseconds,
  wallNow: EpochMilliseconds,
  binding: VersionBinding,
): RequestState {
  const index = getRouteIndex(state);
  const deadline = deadlineAt(route, wallNow, index.clock);
  const patience = request.patience ?? Infinity;
  const { firstTokenMilliseconds } = deadline;
  const { lateFirstTokenMilliseconds = firstTokenMilliseconds } = deadline;
  const priority = index.workspace(request.workspace)?.priority ?? route.priority;
  return {
    request,
    route: priority === route.priority ? route : { ...route, priority },
    pool,
    arrivedAt,
    firstTokenDueAt: arrivedAt + Math.min(firstTokenMilliseconds, patience),
    lateFirstTokenDueAt: arrivedAt + Math.min(lateFirstTokenMilliseconds, patience),
    wholeAnswerDueAt: arrivedAt + Math.min(deadline.wholeAnswerMilliseconds, patience),
    maxPause: deadline.pauseMilliseconds ?? DEFAULT_MAX_PAUSE_MILLISECONDS,
    attemptId: undefined,
    attemptsStarted: 0,
    triedInstances: new Set(),
    tokens: 0,
    firstTokenAt: undefined,
    ...binding,
  };
}

/** What a request that takes a stream up may use, as far as that is known before its first attempt. */
type VersionBinding = Pick<RequestState, 'boundVersion' | 'isTakenUp'>;

function bindBeforeAttempt(
  state: EntryState,
  resolution: OriginResolution,
  pool: string,
): VersionBinding {
  switch (resolution.type) {
    case 'known':
      return { boundVersion: { version: resolution.origin.version }, isTakenUp: true };
    case 'onlyVersion': {
      // Bound now: another version may be listed by the time of the first attempt.
      const version = state.versions.findOnlyVersion(pool, resolution.since);
      return version === undefined ? {} : { boundVersion: { version } };
    }
    default:
      return {};
  }
}

/** The pool in which the stream began that a request takes up, if that is known. */
function findPoolOfStream(resolution: OriginResolution): string | undefined {
  if (resolution.type === 'known') return resolution.origin.pool;
  return resolution.type === 'onlyVersion' ? resolution.pool : undefined;
}

/**
 * Counts the request as demand that the fleet is sized for, even if it is refused. Requests over a
 * workspace's allowance do not count: they would be refused by a larger fleet too, and instances
 * would be bought that nobody may use.
 */
function recordDemand(
  state: EntryState,
  accepted: RequestState,
  decision: AdmissionDecision,
  { now }: Timestamps,
): void {
  const refusal = decision.type === 'refused' ? decision.refusal : undefined;
  // The callers that a shutdown refuses are counted where they go.
  if (refusal?.kind === 'allowanceSpent' || refusal?.kind === 'draining') return;
  state.demand.record(accepted.route.name, now);
  // A caller that ignores its retry time asks for nothing that it has not asked for already.
  const asksForCapacity = refusal?.kind !== 'limitReached' && refusal?.isEarly !== true;
  if (asksForCapacity) recordArrival(state, accepted, now);
}

function countByPriority(
  metric: 'sharesRefused' | 'capacityLent',
  { pool, route }: RequestState,
): EntryEffect[] {
  return [{ type: 'count', metric, label: `${pool.name}/${route.priority}` }];
}

/** What is kept of a request between the decisions on it, if it is held. */
export interface EarlierDecision {
  readonly arrivedAt?: MonotonicMilliseconds | undefined;
  /** When its wait for an acknowledgement of spending ends. */
  readonly waitsUntil?: MonotonicMilliseconds;
  readonly takeUp?: TakeUp;
}

export function admitRequest(
  state: EntryState,
  arrived: CallerRequest,
  timestamps: Timestamps,
  earlier: EarlierDecision = {},
): EntryEffect[] {
  const { arrivedAt = timestamps.now, takeUp = { askedAt: timestamps.now } } = earlier;
  const { waitsUntil = acknowledgementDueAt(state, timestamps.now) } = earlier;
  if (state.refusesNewRequests) {
    return refuseRequest(arrived, 'draining', 'This instance is shutting down');
  }
  if (state.configuration.revision === 0) return awaitConfiguration(state, arrived, timestamps);
  const resolved = resolveRoute(state, arrived);
  if (resolved.type === 'refused') return resolved.effects;
  const { route, request } = resolved;
  const resolution = resolveOrigin(state, request, route, takeUp);
  const held = { request: arrived, arrivedAt, takeUp };
  if (resolution.type === 'askStores') return awaitOrigin(state, held, resolution.firstRequestId);
  if (resolution.type === 'readList') return awaitList(state, held);
  if (resolution.type === 'refused') return refuseContinuation(request, route, resolution);
  const poolName = findPoolOfStream(resolution) ?? choosePool(route, state.random);
  const pool = getRouteIndex(state).pool(poolName);
  if (pool === undefined) {
    return refuseRequest(request, 'noBackendServer', `Pool "${poolName}" does not exist`);
  }
  if (requiresClaim(route) && request.idempotencyKey === undefined) {
    return refuseRequest(
      request,
      'idempotencyKeyMissing',
      `Route "${route.name}" requires an idempotency key`,
    );
  }
  const { wallNow } = timestamps;
  const binding = bindBeforeAttempt(state, resolution, poolName);
  const accepted = makeRequestState(state, request, route, pool, arrivedAt, wallNow, binding);
  const overdue = refuseOverdueArrival(accepted, timestamps.now);
  if (overdue !== undefined) return overdue;
  const decision = decideAdmission(state, accepted, timestamps.now);
  if (decision.type === 'refused' && decision.refusal.awaitsAcknowledgement === true) {
    const { workspace } = request;
    const awaiting = { ...held, workspace, waitsUntil };
    const waiting = awaitAcknowledgement(state, awaiting, timestamps.now);
    if (waiting !== undefined) return waiting;
  }
  recordDemand(state, accepted, decision, timestamps);
  if (decision.type === 'refused') {
    const { kind, detail, retryAfterMilliseconds, facts } = decision.refusal;
    const resumed = describeResumption(request);
    const logFields = { route: route.name, retryAfterMilliseconds, ...resumed, ...facts };
    return [
      ...refuseRequest(request, kind, detail, { ran: 'no', retryAfterMilliseconds }, logFields),
      ...(decision.refusal.isBeyondShare === true
        ? countByPriority('sharesRefused', accepted)
        : []),
    ];
  }
  const lateEffects = decision.type === 'late' ? markLate(accepted) : [];
  const server = decision.type === 'admitted' ? decision.server : undefined;
  const displaced = decision.type === 'admitted' ? decision.displaced : undefined;
  state.requests.set(request.requestId, accepted);
  acquireConcurrencySlot(state, request.requestId, route.name, request.workspace);
  return [
    ...spendAllowance(state, accepted),
    ...lateEffects,
    ...(displaced === undefined ? [] : displaceQueued(state, displaced, timestamps.now)),
    ...(decision.type === 'admitted' && decision.isLent === true
      ? countByPriority('capacityLent', accepted)
      : []),
    { type: 'count', metric: 'requestsAccepted', label: route.name },
    ...reportTakeUp(request, resolution),
    {
      type: 'log',
      event: 'requestAccepted',
      fields: {
        requestId: request.requestId,
        route: route.name,
        workspace: request.workspace,
        patience: request.patience,
        waited: Math.round(timestamps.now - arrivedAt),
        tokens: request.countedTokens,
        ...describeResumption(request),
        ...(binding.boundVersion === undefined
          ? {}
          : { version: binding.boundVersion.version, origin: resolution.type }),
      },
    },
    ...(requiresClaim(route)
      ? beginClaim(state, accepted, timestamps)
      : startAttempt(state, accepted, timestamps.now, server)),
  ];
}

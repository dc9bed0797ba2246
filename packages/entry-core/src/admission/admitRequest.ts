/**
 * Decides on a request that has just arrived: refuse it at once with the reason, or accept it
 * and try it.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest, Timed } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { startAttempt } from '../attempts/startAttempt.js';
import { beginClaim } from '../claims/beginClaim.js';
import { refuse } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import { deadlineAt } from '../routing/deadlineAt.js';
import { findRoute } from '../routing/findRoute.js';
import { routeIndexOf } from '../routing/routeIndexOf.js';
import { acquire } from '../limits/releaseEnded.js';
import { decideAdmission } from './refuseEarly.js';

export function admitRequest(
  state: EntryState,
  request: CallerRequest,
  { now, wallNow }: Timed,
): EntryEffect[] {
  if (state.shuttingDown) {
    return refuse(request, 'draining', 'This instance is shutting down');
  }
  const index = routeIndexOf(state);
  const found = findRoute(index, request);
  if (found.type === 'forbidden') {
    return refuse(request, 'forbidden', `Workspace "${request.workspace}" may not use this route`);
  }
  if (found.type === 'routeNotFound') {
    return refuse(request, 'routeNotFound', `No route matches ${request.path}`);
  }
  const { route } = found;
  state.demand.note(route.name, now);
  const pool = index.pool(route.pool);
  if (pool === undefined) {
    return refuse(request, 'noBackendServer', `Pool "${route.pool}" is not there`);
  }
  if (!route.idempotent && request.idempotencyKey === undefined) {
    return refuse(request, 'idempotencyKeyMissing', `Route "${route.name}" needs the header`);
  }
  const deadline = deadlineAt(route, wallNow, index.clock);
  const accepted: RequestState = {
    request,
    route,
    pool,
    arrivedAt: now,
    firstTokenDueAt: now + deadline.firstTokenMilliseconds,
    wholeAnswerDueAt: now + deadline.wholeAnswerMilliseconds,
    attemptId: undefined,
    attemptsStarted: 0,
    triedInstances: new Set(),
    tokens: 0,
    firstTokenAt: undefined,
  };
  const admission = decideAdmission(state, accepted, now);
  if (admission.type === 'refused') {
    const { kind, detail, retryAfterMilliseconds } = admission.refusal;
    return refuse(request, kind, detail, { ran: 'no', retryAfterMilliseconds });
  }
  state.requests.set(request.requestId, accepted);
  acquire(state, request.requestId, route.name, request.workspace);
  return [
    { type: 'count', metric: 'requestsAccepted', label: route.name },
    {
      type: 'log',
      event: 'requestAccepted',
      fields: { requestId: request.requestId, route: route.name, workspace: request.workspace },
    },
    ...(route.idempotent
      ? startAttempt(state, accepted, now, admission.server)
      : beginClaim(state, accepted, { now, wallNow })),
  ];
}

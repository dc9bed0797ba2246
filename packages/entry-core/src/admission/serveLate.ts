/**
 * Late service: requests that cannot meet their first-token deadline but are still useful to their
 * callers are queued behind all that can. If they were refused, their callers would retry and be
 * later still, and long prompts would hardly ever be served after an outage.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { getPoolQueue } from './AdmissionState.js';
import type { QueuedRequest } from './FairQueue.js';
import { makeQueuedRequest, predictWait, expectedFirstTokenDelay } from './predictWait.js';

const MAX_LATE_REQUESTS_PER_SERVER = 4;

/** Leaves a margin, because some late requests wait longer than predicted. */
const MAX_WAIT_FRACTION_OF_TIME_LEFT = 0.5;

/** True if a request that will miss its deadline can still be served while that is useful. */
export function canServeLate(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  if (accepted.isLate === true || accepted.firstTokenAt !== undefined) return false;
  const { pool, lateFirstTokenDueAt } = accepted;
  const timeLeft = lateFirstTokenDueAt - now - expectedFirstTokenDelay(state, accepted);
  const queued = makeQueuedRequest(state, { ...accepted, isLate: true });
  if (predictWait(state, queued) > timeLeft * MAX_WAIT_FRACTION_OF_TIME_LEFT) return false;
  const { local, remote } = getPoolState(state, pool.name);
  const servers = local.candidates.length + remote.candidates.length;
  return getPoolQueue(state, pool.name).lateCount < servers * MAX_LATE_REQUESTS_PER_SERVER;
}

/** Marks a request to be served after all that can meet their deadline. */
export function markLate(accepted: RequestState): EntryEffect[] {
  accepted.isLate = true;
  const { request, route } = accepted;
  const { requestId, workspace } = request;
  return [
    { type: 'log', event: 'requestLate', fields: { requestId, workspace, route: route.name } },
  ];
}

/** Marks a queued request as late and moves it to the end of the queue. */
export function requeueAsLate(state: EntryState, queued: QueuedRequest): EntryEffect[] {
  const { requestState } = queued;
  const queue = getPoolQueue(state, requestState.pool.name);
  queue.remove(queued);
  const effects = markLate(requestState);
  queue.add(makeQueuedRequest(state, requestState));
  return effects;
}

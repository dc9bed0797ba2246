/**
 * Requests whose first token can no longer be in time, but is still of use to their callers. They wait
 * behind all that can be in time, and are sent to engines that have nothing else to begin. Refused
 * instead, their callers would come again, even later, and long prompts would hardly ever be served.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { poolQueueOf } from './AdmissionState.js';
import type { QueuedRequest } from './FairQueue.js';
import { makeQueuedRequest, predictWait, expectedFirstTokenDelay } from './predictWait.js';

/** Late requests that may wait at this entry, for each backend server of the pool. */
const MAX_LATE_REQUESTS_PER_SERVER = 4;

/** Of the time that is left, the most that a late request is predicted to wait: some wait longer. */
const MAX_WAIT_FRACTION_OF_TIME_LEFT = 0.5;

/** True if a request that will be late can still be of use. */
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
  return poolQueueOf(state, pool.name).lateCount < servers * MAX_LATE_REQUESTS_PER_SERVER;
}

/** Puts a request behind all that can be in time. */
export function markLate(accepted: RequestState): EntryEffect[] {
  accepted.isLate = true;
  const { request, route } = accepted;
  const { requestId, workspace } = request;
  return [
    { type: 'log', event: 'requestLate', fields: { requestId, workspace, route: route.name } },
  ];
}

/** The same for one that waits already. */
export function requeueAsLate(state: EntryState, queued: QueuedRequest): EntryEffect[] {
  const { accepted } = queued;
  const queue = poolQueueOf(state, accepted.pool.name);
  queue.remove(queued);
  const effects = markLate(accepted);
  queue.add(makeQueuedRequest(state, accepted));
  return effects;
}

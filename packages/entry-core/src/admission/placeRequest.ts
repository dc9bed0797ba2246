/**
 * Determines whether a request can be sent to a backend server now, has to be queued, or has no
 * server left to try. It does not overtake queued requests of its own or a more urgent priority,
 * unless it goes to another data centre because the local servers are full.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import {
  chooseBackendServer,
  hasUntriedServer,
  nextTokenDueAt,
} from '../backendServers/chooseBackendServer.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { getPoolQueue } from './AdmissionState.js';
import { isWithinPortion } from './isWithinPortion.js';
import { shouldWaitForCache } from './shouldWaitForCache.js';
import { getLevelIndex } from './PoolQueue.js';
import { makeQueuedRequest, predictWait, expectedFirstTokenDelay } from './predictWait.js';

export type Placement =
  | { readonly type: 'start'; readonly server: BackendServerState }
  /**
   * `availableServer` has capacity, but the request waits for queued ones or for a cached prefix.
   */
  | { readonly type: 'wait'; readonly availableServer: BackendServerState | undefined }
  | { readonly type: 'none' };

/** A longer predicted wait for local servers allows the use of other data centres. */
const MAX_LOCAL_WAIT_FRACTION_OF_TIME_LEFT = 0.5;

function isQueueAhead(state: EntryState, accepted: RequestState): boolean {
  // Served before those that are queued; see `orderQueueForServer`.
  if (accepted.isTakenUp === true) return false;
  const { levels } = getPoolQueue(state, accepted.pool.name);
  return levels
    .slice(0, getLevelIndex({ requestState: accepted }) + 1)
    .some((level) => !level.isEmpty);
}

/** True if the wait for local servers endangers the deadline. */
export function isLocalWaitTooLong(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  const wait = predictWait(state, makeQueuedRequest(state, accepted));
  const timeLeft = nextTokenDueAt(accepted) - now - expectedFirstTokenDelay(state, accepted);
  return wait > timeLeft * MAX_LOCAL_WAIT_FRACTION_OF_TIME_LEFT;
}

export function placeRequest(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Placement {
  if (!hasUntriedServer(state, accepted)) return { type: 'none' };
  if (!isWithinPortion(state, accepted)) return { type: 'wait', availableServer: undefined };
  const nearest = chooseBackendServer(state, accepted);
  if (nearest !== undefined) {
    const waits =
      isQueueAhead(state, accepted) || shouldWaitForCache(state, accepted, nearest, now);
    return waits ? { type: 'wait', availableServer: nearest } : { type: 'start', server: nearest };
  }
  const remote = isLocalWaitTooLong(state, accepted, now)
    ? chooseBackendServer(state, accepted, { where: 'remote' })
    : undefined;
  return remote === undefined
    ? { type: 'wait', availableServer: undefined }
    : { type: 'start', server: remote };
}

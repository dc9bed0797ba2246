/**
 * Finds out whether a request can be sent to a backend server now, has to wait, or has nowhere to
 * go. Nobody passes those who wait: while there is a queue of its priority or a more urgent one,
 * a request joins it, unless the own data centre is full and another one has room in time.
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
import { poolQueueOf } from './AdmissionState.js';
import { shouldWaitForCache } from './shouldWaitForCache.js';
import { levelIndexOf } from './PoolQueue.js';
import { makeQueuedRequest, predictWait, expectedFirstTokenDelay } from './predictWait.js';

export type Placement =
  | { readonly type: 'start'; readonly server: BackendServerState }
  /** `room`: a server that could take the request now, were it not for those that wait already. */
  | { readonly type: 'wait'; readonly availableServer: BackendServerState | undefined }
  | { readonly type: 'none' };

/** Other data centres are used when the wait at home would take so much of the patience left. */
const MAX_LOCAL_WAIT_FRACTION_OF_PATIENCE = 0.5;

function isQueueAhead(state: EntryState, accepted: RequestState): boolean {
  const { levels } = poolQueueOf(state, accepted.pool.name);
  return levels.slice(0, levelIndexOf({ accepted }) + 1).some((level) => !level.isEmpty);
}

/** True if the wait at home endangers the deadline, so that other data centres are worth it. */
export function isLocalWaitTooLong(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  const wait = predictWait(state, makeQueuedRequest(state, accepted));
  const patience = nextTokenDueAt(accepted) - now - expectedFirstTokenDelay(state, accepted);
  return wait > patience * MAX_LOCAL_WAIT_FRACTION_OF_PATIENCE;
}

export function placeRequest(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Placement {
  if (!hasUntriedServer(state, accepted)) return { type: 'none' };
  const local = chooseBackendServer(state, accepted);
  if (local !== undefined) {
    const waits = isQueueAhead(state, accepted) || shouldWaitForCache(state, accepted, local, now);
    return waits ? { type: 'wait', availableServer: local } : { type: 'start', server: local };
  }
  const remote = isLocalWaitTooLong(state, accepted, now)
    ? chooseBackendServer(state, accepted, { where: 'remote' })
    : undefined;
  return remote === undefined
    ? { type: 'wait', availableServer: undefined }
    : { type: 'start', server: remote };
}

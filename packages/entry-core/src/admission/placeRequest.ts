/**
 * Finds out whether a request can be sent to a backend server now, has to wait, or has nowhere to
 * go. Nobody passes those who wait: while there is a queue of its priority or a more urgent one,
 * a request joins it, unless it would be late there and another data centre has room.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import {
  chooseBackendServer,
  hasUntried,
  nextTokenDueAt,
} from '../backendServers/chooseBackendServer.js';
import { poolBalanceOf } from '../backendServers/poolBalanceOf.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { poolQueueOf } from './AdmissionState.js';
import { isWorthHolding } from './isWorthHolding.js';
import { makeWaiting, predictWait, usualDelay } from './predictWait.js';

export type Placement =
  | { readonly type: 'start'; readonly server: BackendServerState }
  | { readonly type: 'wait' }
  | { readonly type: 'none' };

/** Other data centres are used when the wait at home would take so much of the patience left. */
const HOME_PATIENCE_SHARE = 0.5;

function isQueueAhead(state: EntryState, { pool, route }: RequestState): boolean {
  const { levels } = poolQueueOf(state, pool.name);
  return levels.slice(0, route.priority + 1).some((level) => !level.isEmpty);
}

/** True if the wait at home endangers the deadline, so that other data centres are worth it. */
export function isLateAtHome(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  const wait = predictWait(state, makeWaiting(state, accepted));
  const patience = nextTokenDueAt(accepted) - now - usualDelay(state, accepted);
  return wait > patience * HOME_PATIENCE_SHARE;
}

export function placeRequest(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Placement {
  if (!hasUntried(state, accepted)) return { type: 'none' };
  const pool = poolBalanceOf(state, accepted.pool.name);
  const late = () => isLateAtHome(state, accepted, now);
  if (isQueueAhead(state, accepted)) {
    if (pool.local.candidates.length === 0 || !late()) return { type: 'wait' };
    const remote = chooseBackendServer(state, accepted, { where: 'remote' });
    return remote === undefined ? { type: 'wait' } : { type: 'start', server: remote };
  }
  const local = chooseBackendServer(state, accepted);
  if (local !== undefined) {
    const holds = isWorthHolding(state, accepted, local, now);
    return holds ? { type: 'wait' } : { type: 'start', server: local };
  }
  const remote = late() ? chooseBackendServer(state, accepted, { where: 'remote' }) : undefined;
  return remote === undefined ? { type: 'wait' } : { type: 'start', server: remote };
}

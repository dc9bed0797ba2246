/** Whether a backend server can be sent a request now. */
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import type { PoolState } from './PoolState.js';
import { isPrefillQueueFull } from './predictFirstTokenDelay.js';
import { currentLimit } from './BalancingState.js';

/**
 * Late requests may use only this fraction of the concurrency limit, because a full server is
 * slower for all.
 */
const LATE_FRACTION_OF_LIMIT = 0.5;

export function hasCapacity(
  state: EntryState,
  pool: PoolState,
  server: BackendServerState,
  accepted: RequestState,
): boolean {
  const limit = currentLimit(server.balancing, state.clocks.now);
  const limitFraction = accepted.isLate === true ? LATE_FRACTION_OF_LIMIT : 1;
  const maxInProgress = Math.max(1, Math.floor(limit * limitFraction));
  if (estimateInProgress(state, server) >= maxInProgress) return false;
  return !isPrefillQueueFull(state, pool, server, accepted);
}

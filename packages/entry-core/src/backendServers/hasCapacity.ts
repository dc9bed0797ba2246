/**
 * Whether a request fits under a backend server's concurrency limit, within the rate that it names
 * as its limit, into its prefill queue and into its memory now, and leaves the slots free that are
 * kept for more urgent requests. A server that has rested takes one at first.
 * Does not check whether the server accepts new work.
 */
import { hasSharedCapacity } from '../admission/hasSharedCapacity.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import { isWithinBrittleRoom } from '../statements/brittleAllowance.js';
import { isWithinRateLimit } from '../statements/rateAllowance.js';
import { isOnTrial } from '../statements/restAllowance.js';
import type { PoolState } from './PoolState.js';
import { isPrefillQueueFull } from './predictFirstTokenDelay.js';
import { currentLimit } from './BalancingState.js';

/**
 * A request that will miss its first-token deadline is sent only to a server whose requests in
 * progress, of all kinds, are below this fraction of its limit: a fuller batch slows every answer.
 */
const MAX_UTILIZATION_FOR_LATE_REQUESTS = 0.5;

export function hasCapacity(
  state: EntryState,
  pool: PoolState,
  server: BackendServerState,
  accepted: RequestState,
): boolean {
  const limit = currentLimit(server.balancing, state.clocks.now);
  const maxUtilization = accepted.isLate === true ? MAX_UTILIZATION_FOR_LATE_REQUESTS : 1;
  const maxInProgress = Math.max(1, Math.floor(limit * maxUtilization));
  const inProgress = estimateInProgress(state, server);
  if (inProgress >= maxInProgress) return false;
  if (!hasSharedCapacity(state, server, accepted, limit, inProgress)) return false;
  if (isOnTrial(state, server) || !isWithinRateLimit(state, server)) return false;
  if (!isWithinBrittleRoom(state, server)) return false;
  return !isPrefillQueueFull(state, pool, server, accepted);
}

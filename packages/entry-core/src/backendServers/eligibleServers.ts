/** Which backend servers a request can be sent to, whether or not they have capacity now. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { findExcludedInstances } from '../attempts/findExcludedInstances.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { isWithinRateLimit } from '../statements/rateAllowance.js';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { getPoolState } from './getPoolState.js';
import { lastServedAt } from './nextTokenDueAt.js';
import type { CandidateGroup } from './PoolState.js';

export function hasUntriedServerIn(
  state: EntryState,
  group: CandidateGroup,
  accepted: RequestState,
): boolean {
  const isEligible = makeEligibilityCheck(state, accepted, state.clocks.now);
  // A server that is only at the limit it names may have no room for long.
  return group.candidates.some((server) => isEligible(server) && isWithinRateLimit(state, server));
}

/**
 * Returns a predicate: can the request be sent to this server, once it has capacity and, by
 * `restedBy`, has rested?
 */
function makeEligibilityCheck(
  state: EntryState,
  accepted: RequestState,
  restedBy: MonotonicMilliseconds,
) {
  const excluded = findExcludedInstances(state, accepted, state.clocks.now, restedBy);
  return (server: BackendServerState) => {
    const { instance } = server.platformInstance;
    return (
      acceptsNewWork(server) && !accepted.triedInstances.has(instance) && !excluded.has(instance)
    );
  };
}

/** True if some backend server that was not tried yet can take the request in time. */
export function hasUntriedServer(state: EntryState, accepted: RequestState): boolean {
  const pool = getPoolState(state, accepted.pool.name);
  const isEligible = makeEligibilityCheck(state, accepted, lastServedAt(accepted));
  return pool.groups.some(
    (group) => group.candidates.some(isEligible) || [...group.ejected].some(isEligible),
  );
}

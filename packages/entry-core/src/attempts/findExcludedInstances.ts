/**
 * Lists the backend servers that a request must not be sent to: those that failed or whose loss is
 * not classified yet, those taken out of service, and for suspects of a crash those where another
 * suspect runs or may be started by a peer.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { findIsolation } from '../quarantine/findIsolation.js';
import { isSuspect, listInstancesRunningOwnSuspects } from '../quarantine/suspects.js';
import { chooseVersion } from '../rollouts/chooseVersion.js';
import type { RequestState } from '../requests/RequestState.js';
import { listInstancesOutsideRateLimit } from '../statements/rateAllowance.js';
import { ExcludedInstances } from './ExcludedInstances.js';

/** Backend servers that are excluded for a short time and may take the request soon. */
export function findTemporarilyExcludedInstances(
  state: EntryState,
  { request: { digest, requestId } }: RequestState,
): ExcludedInstances {
  const excluded = new ExcludedInstances();
  excluded.add(state.quarantine.unresolvedLosses);
  if (!state.retries.policy.isolateSuspects || !isSuspect(state, digest)) return excluded;
  excluded.isolation = findIsolation(state);
  excluded.add(excluded.isolation.busyAtPeers);
  excluded.add(listInstancesRunningOwnSuspects(state, requestId));
  return excluded;
}

/**
 * All excluded backend servers, including those that are down, taken out of service, of another
 * version than the request uses, left to other entries by the limit that they name, or resting.
 *
 * @param restedBy - Servers whose rest is over by then are not excluded for it.
 * @param version - What the request's version leaves out, if the caller has decided it already.
 */
export function findExcludedInstances(
  state: EntryState,
  requestState: RequestState,
  now: MonotonicMilliseconds,
  restedBy = now,
  version = chooseVersion(state, requestState),
): ExcludedInstances {
  const excluded = findTemporarilyExcludedInstances(state, requestState);
  excluded.add(state.quarantine.down);
  excluded.add(version.excluded);
  excluded.add(new Set(state.rests.listResting(restedBy)));
  excluded.add(new Set(listInstancesOutsideRateLimit(state)));
  state.drains.forEach(({ instances }) => excluded.add(new Set(instances)));
  return excluded;
}

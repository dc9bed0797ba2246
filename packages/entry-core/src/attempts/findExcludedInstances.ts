/**
 * Backend servers that a request must not be sent to for now, whoever chooses: those lost or not
 * yet judged, and for suspects of a crash those that would put two suspects together.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { isSuspect, listInstancesRunningSuspects } from '../quarantine/suspects.js';
import { listInstancesOutsideSlot } from '../quarantine/listInstancesOutsideSlot.js';
import type { RequestState } from '../requests/RequestState.js';

/** Those that may take the request again soon. */
export function findTemporarilyExcludedInstances(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Set<string> {
  const instances = new Set(state.quarantine.unresolvedLosses.keys());
  const { digest, requestId } = accepted.request;
  if (state.retries.policy.isolateSuspects && isSuspect(state, digest)) {
    listInstancesRunningSuspects(state, requestId).forEach((instance) => instances.add(instance));
    listInstancesOutsideSlot(state, now).forEach((instance) => instances.add(instance));
  }
  return instances;
}

/** Those, and the ones that are known to be down or were taken out of service. */
export function findExcludedInstances(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Set<string> {
  const instances = findTemporarilyExcludedInstances(state, accepted, now);
  state.quarantine.down.forEach((_, instance) => instances.add(instance));
  state.drains.forEach((drains) => drains.instances.forEach((instance) => instances.add(instance)));
  return instances;
}

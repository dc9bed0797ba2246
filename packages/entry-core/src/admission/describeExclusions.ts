/**
 * Counts why the backend servers of a pool cannot take a request, for the log line of its refusal. A
 * server that is out for several reasons is counted once, by the first of them in the list.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { chooseVersion } from '../rollouts/chooseVersion.js';
import { acceptsNewWork, type BackendServerState } from '../backendServers/BackendServerState.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { findIsolation, isOutsideSlot } from '../quarantine/findIsolation.js';
import { isSuspect, listInstancesRunningOwnSuspects } from '../quarantine/suspects.js';
import { listInstancesOutsideRateLimit } from '../statements/rateAllowance.js';

export const exclusionReasons = [
  'leaving',
  'tried',
  'down',
  'lossUnresolved',
  'ejected',
  'resting',
  'rateLimited',
  'otherVersion',
  'drained',
  'runningSuspect',
  'outsideSlot',
  'other',
] as const;

export type ExclusionReason = (typeof exclusionReasons)[number];

type Check = (instance: string, server: BackendServerState) => boolean;

function makeChecks(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Readonly<Record<Exclude<ExclusionReason, 'other'>, Check>> {
  const resting = new Set(state.rests.listResting(now));
  const rateLimited = new Set(listInstancesOutsideRateLimit(state));
  const version = chooseVersion(state, accepted);
  const drained = new Set([...state.drains.values()].flatMap(({ instances }) => [...instances]));
  const { digest, requestId } = accepted.request;
  const isIsolated = state.retries.policy.isolateSuspects && isSuspect(state, digest);
  const isolation = isIsolated ? findIsolation(state) : undefined;
  const runningHere = isIsolated
    ? listInstancesRunningOwnSuspects(state, requestId)
    : new Set<string>();
  return {
    leaving: (_, server) => !acceptsNewWork(server),
    tried: (instance) => accepted.triedInstances.has(instance),
    down: (instance) => state.quarantine.down.has(instance),
    lossUnresolved: (instance) => state.quarantine.unresolvedLosses.has(instance),
    ejected: (_, { balancing }) => balancing.ejectedUntil !== undefined,
    resting: (instance) => resting.has(instance),
    rateLimited: (instance) => rateLimited.has(instance),
    otherVersion: (instance) => version.excluded.has(instance),
    drained: (instance) => drained.has(instance),
    runningSuspect: (instance) =>
      runningHere.has(instance) || isolation?.busyAtPeers.has(instance) === true,
    outsideSlot: (instance) => isolation !== undefined && isOutsideSlot(isolation, instance),
  };
}

export function describeExclusions(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Partial<Record<ExclusionReason, number>> {
  const checks = makeChecks(state, accepted, now);
  const counts: Partial<Record<ExclusionReason, number>> = {};
  const { groups } = getPoolState(state, accepted.pool.name);
  groups.forEach(({ candidates, ejected }) =>
    [...candidates, ...ejected].forEach((server) => {
      const { instance } = server.platformInstance;
      const reason =
        exclusionReasons.find((name) => name !== 'other' && checks[name](instance, server)) ??
        'other';
      counts[reason] = (counts[reason] ?? 0) + 1;
    }),
  );
  return counts;
}

/**
 * Applies the platform's list of instances to the backend servers, their concurrency limits and the
 * candidate groups. The list lags: a reclaim notice received in another way stays in force although
 * the list still shows the instance as live.
 */
import type { MonotonicMilliseconds, PlatformInstance } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { getRouteIndex } from '../routing/getRouteIndex.js';
import { restoreCachedPrefixes } from '../membership/restorePersistedState.js';
import type { BackendServerState } from './BackendServerState.js';
import { rebuildCandidateGroups } from './rebuildCandidateGroups.js';
import { makeBalancingState } from './BalancingState.js';

/** For instances whose class is not in the pools table. */
const DEFAULT_CONCURRENCY = 8;

function findConcurrency(state: EntryState, instance: PlatformInstance): number {
  if (instance.concurrency !== undefined) return instance.concurrency;
  const classes = getRouteIndex(state).pool(instance.pool)?.instanceClasses;
  const found = classes?.find((instanceClass) => instanceClass.name === instance.instanceClass);
  return found?.concurrency ?? DEFAULT_CONCURRENCY;
}

function addInstance(
  state: EntryState,
  platformInstance: PlatformInstance,
  slowStartAt: MonotonicMilliseconds | undefined,
): BackendServerState {
  const server: BackendServerState = {
    platformInstance,
    listedAt: state.clocks.now,
    goneAt: platformInstance.goneAt,
    isLeaving: state.departures.has(platformInstance.instance),
    attemptIds: new Set(),
    timedOutAttemptIds: new Set(),
    load: undefined,
    loadReceivedAt: undefined,
    balancing: makeBalancingState(findConcurrency(state, platformInstance), slowStartAt),
  };
  state.backendServers.set(platformInstance.instance, server);
  return server;
}

/** Updates the concurrency limits when the list of instances or the configuration has changed. */
export function refreshConcurrencyLimits(state: EntryState): void {
  for (const { balancing, platformInstance } of state.backendServers.values()) {
    const maxLimit = findConcurrency(state, platformInstance);
    if (maxLimit === balancing.maxLimit) continue;
    balancing.limit = Math.max(1, (balancing.limit * maxLimit) / balancing.maxLimit);
    balancing.maxLimit = maxLimit;
  }
}

export function applyInstanceList(
  state: EntryState,
  instances: readonly PlatformInstance[],
  readAt?: MonotonicMilliseconds,
): void {
  const { now } = state.clocks;
  // Servers in the first list were running before this entry: slow start would only hold back work
  // that they can take.
  const isFirstList = state.backendServers.size === 0;
  const listedInstances = new Set(instances.map((instance) => instance.instance));
  instances.forEach((instance) => {
    const server = state.backendServers.get(instance.instance);
    if (server === undefined) {
      restoreCachedPrefixes(
        state,
        addInstance(state, instance, isFirstList ? undefined : now),
        now,
      );
      return;
    }
    if (server.platformInstance.state === 'starting' && instance.state === 'live') {
      server.balancing.slowStartAt = now;
      state.speeds.recordRestart(instance.instance);
    }
    server.platformInstance = instance;
    server.goneAt ??= instance.goneAt;
  });
  state.backendServers.forEach((server, instance) => {
    if (listedInstances.has(instance)) return;
    if (server.attemptIds.size === 0) state.backendServers.delete(instance);
    // Its attempts in progress may still finish, but an instance that is no longer listed is being
    // removed.
    else server.platformInstance = { ...server.platformInstance, state: 'leaving' };
  });
  const isListed = (instance: string) => listedInstances.has(instance);
  state.rateLimits.retainOnly(isListed, state.clocks.wallNow);
  state.brittleness.applyList(instances, state.clocks);
  state.rejections.retainRecent(now);
  state.speeds.retainOnly(isListed, now);
  state.rests.retainOnly(isListed, now);
  state.departures.retainOnly(isListed, now);
  refreshConcurrencyLimits(state);
  state.versions.update(state.backendServers.values(), state.clocks, readAt);
  rebuildCandidateGroups(state);
}

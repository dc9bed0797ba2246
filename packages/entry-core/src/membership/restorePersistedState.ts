/**
 * Restores, when an entry starts, the state that a store has persisted: spending, delays to the
 * first token, cached prefixes and the software versions that backend servers have had.
 */
import type { MonotonicMilliseconds, PersistedEntryData } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';

export function restorePersistedState(
  state: EntryState,
  { spending, delays, computed, versions }: PersistedEntryData,
  askedAt: MonotonicMilliseconds,
  { now, wallNow }: Timestamps,
): void {
  if (spending !== undefined) {
    state.limits.allowanceLimiter.restore(spending, state.identity.instance, now, wallNow);
  }
  if (versions !== undefined) state.versions.adoptHistory(versions.history, now, askedAt);
  Object.entries(delays).forEach(([pool, delay]) => {
    getPoolState(state, pool).firstTokenRegression.adopt(delay);
  });
  Object.entries(computed).forEach(([instance, digests]) => {
    state.persistedPrefixes.set(instance, digests);
  });
  state.backendServers.forEach((server) => restoreCachedPrefixes(state, server, now));
}

/**
 * Restores the cached prefixes of a listed backend server; also called for servers listed later.
 */
export function restoreCachedPrefixes(
  state: EntryState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): void {
  const { instance, pool } = server.platformInstance;
  const digests = state.persistedPrefixes.get(instance);
  if (digests === undefined) return;
  state.persistedPrefixes.delete(instance);
  getPoolState(state, pool).prefixCacheIndex.recordCached(server, digests, now);
}

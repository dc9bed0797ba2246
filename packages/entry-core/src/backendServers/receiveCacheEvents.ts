/** Applies the cache events of backend servers to the prefix cache index of their pool. */
import type { CacheEvent, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { getPoolState } from './getPoolState.js';

export function receiveCacheEvents(
  state: EntryState,
  events: readonly CacheEvent[],
  now: MonotonicMilliseconds,
): void {
  for (const event of events) {
    const server = state.backendServers.get(event.instance);
    if (server !== undefined) {
      getPoolState(state, server.platformInstance.pool).prefixCacheIndex.applyCacheEvent(
        server,
        event,
        now,
      );
    }
  }
}

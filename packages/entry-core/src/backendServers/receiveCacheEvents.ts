/** Takes in the engines' late word on their prefix caches. */
import type { CacheEvent, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { poolBalanceOf } from './poolBalanceOf.js';

export function receiveCacheEvents(
  state: EntryState,
  events: readonly CacheEvent[],
  now: MonotonicMilliseconds,
): void {
  for (const event of events) {
    const server = state.backendServers.get(event.instance);
    if (server !== undefined) {
      poolBalanceOf(state, server.listed.pool).beliefs.receive(server, event, now);
    }
  }
}

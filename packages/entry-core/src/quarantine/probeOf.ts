/** Asks a backend server for a sign of life. */
import { targetAt } from '../backendServers/targetAt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { routeIndexOf } from '../routing/routeIndexOf.js';

export function probeOf(state: EntryState, instance: string): EntryEffect[] {
  const server = state.backendServers.get(instance);
  if (server === undefined) return [];
  const pool = routeIndexOf(state).pool(server.listed.pool);
  return [{ type: 'probe', target: targetAt(server, pool) }];
}

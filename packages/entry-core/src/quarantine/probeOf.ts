/** Asks a backend server for a sign of life. */
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';

export function probeOf(state: EntryState, instance: string): EntryEffect[] {
  const listed = state.backendServers.get(instance)?.listed;
  if (listed === undefined) return [];
  const { host, port, pool } = listed;
  const row = state.configuration.pools.rows.find(({ name }) => name === pool);
  const kind = row?.kind ?? 'modelEngine';
  return [{ type: 'probe', target: { instance, host, port, kind } }];
}

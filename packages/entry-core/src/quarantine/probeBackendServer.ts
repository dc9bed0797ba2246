/** Probes a backend server over a new connection; the answer arrives as `probeAnswered`. */
import { makeAttemptTarget } from '../backendServers/makeAttemptTarget.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { getRouteIndex } from '../routing/getRouteIndex.js';
import { countTowardsRateLimit } from '../statements/rateAllowance.js';

export function probeBackendServer(state: EntryState, instance: string): EntryEffect[] {
  const server = state.backendServers.get(instance);
  if (server === undefined) return [];
  countTowardsRateLimit(state, server);
  const pool = getRouteIndex(state).pool(server.platformInstance.pool);
  return [{ type: 'probe', target: makeAttemptTarget(server, pool) }];
}

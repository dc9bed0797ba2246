/**
 * Rebuilds the candidate groups and the prefix hash ring of every pool from the list of instances.
 * This visits all servers, so it is done when the list is received, not per request. A server that
 * stops accepting new work in between may stay in its group until the next list; the choice of a
 * server therefore checks `acceptsNewWork`.
 */
import type { EntryState } from '../EntryState.js';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { enforceMinServersInUse } from './ejectOutliers.js';
import { updateVersions } from '../rollouts/updateVersions.js';
import type { PoolState } from './PoolState.js';
import { getPoolState } from './getPoolState.js';

function clearGroups(state: EntryState): void {
  for (const pool of state.poolStates.values()) {
    for (const group of pool.groups) group.clear();
  }
}

export function rebuildCandidateGroups(state: EntryState): void {
  updateVersions(state);
  clearGroups(state);
  const serversByPool = new Map<PoolState, BackendServerState[]>();
  for (const server of state.backendServers.values()) {
    server.balancing.candidateIndex = undefined;
    if (!acceptsNewWork(server)) continue;
    const pool = getPoolState(state, server.platformInstance.pool);
    const isLocal = server.platformInstance.dataCentre === state.identity.dataCentre;
    const group = isLocal ? pool.local : pool.remote;
    if (server.balancing.ejectedUntil === undefined) group.addCandidate(server);
    else group.ejected.add(server);
    const servers = serversByPool.get(pool);
    if (servers === undefined) serversByPool.set(pool, [server]);
    else servers.push(server);
  }
  for (const pool of state.poolStates.values()) {
    pool.prefixHashRing.setServers(serversByPool.get(pool) ?? []);
    pool.groups.forEach(enforceMinServersInUse);
  }
}

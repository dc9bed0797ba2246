/**
 * Assigns the backend servers to the candidate groups of their pools. It iterates over all servers
 * and runs when the list of instances is received, not per request; a server that stops accepting
 * new work in between is removed when it is sampled.
 */
import type { EntryState } from '../EntryState.js';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { enforceMinServersInUse } from './ejectOutliers.js';
import type { PoolState } from './PoolState.js';
import { getPoolState } from './getPoolState.js';

function clearGroups(state: EntryState): void {
  for (const pool of state.poolStates.values()) {
    for (const group of pool.groups) group.clear();
  }
}

export function rebuildCandidateGroups(state: EntryState): void {
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

/**
 * Sorts the backend servers into the candidates of their pools. This costs one pass over all
 * servers and is done when the list of instances comes in, not for a request; a server that stops
 * taking new work in between is taken out when a choice meets it.
 */
import type { EntryState } from '../EntryState.js';
import { takesNewWork, type BackendServerState } from './BackendServerState.js';
import { keepFloor } from './ejectOutliers.js';
import type { PoolBalance } from './PoolBalance.js';
import { poolBalanceOf } from './poolBalanceOf.js';

function emptyGroups(state: EntryState): void {
  for (const pool of state.poolStates.values()) {
    for (const group of pool.groups) group.clear();
  }
}

export function indexCandidates(state: EntryState): void {
  emptyGroups(state);
  const serversByPool = new Map<PoolBalance, BackendServerState[]>();
  for (const server of state.backendServers.values()) {
    server.balance.candidateIndex = undefined;
    if (!takesNewWork(server)) continue;
    const pool = poolBalanceOf(state, server.listed.pool);
    const isLocal = server.listed.dataCentre === state.identity.dataCentre;
    const group = isLocal ? pool.local : pool.remote;
    if (server.balance.ejectedUntil === undefined) group.add(server);
    else group.ejected.add(server);
    const servers = serversByPool.get(pool);
    if (servers === undefined) serversByPool.set(pool, [server]);
    else servers.push(server);
  }
  for (const pool of state.poolStates.values()) {
    pool.homes.setServers(serversByPool.get(pool) ?? []);
    pool.groups.forEach(keepFloor);
  }
}

/**
 * Chooses the backend server for an attempt: among those of the pool that take new work and were
 * not tried yet, the one with the least work in progress, local data centre first.
 */
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';

function takesNewWork(server: BackendServerState): boolean {
  return server.listed.state === 'live' && server.goneAt === undefined;
}

export function chooseBackendServer(
  state: EntryState,
  request: RequestState,
): BackendServerState | undefined {
  const rank = (server: BackendServerState) =>
    (server.listed.dataCentre === state.identity.dataCentre ? 0 : 1_000_000) +
    server.attemptIds.size;
  return [...state.backendServers.values()]
    .filter((server) => server.listed.pool === request.pool.name)
    .filter(takesNewWork)
    .filter((server) => !request.triedInstances.has(server.listed.instance))
    .sort((a, b) => rank(a) - rank(b) || a.listed.instance.localeCompare(b.listed.instance))[0];
}

/** Whether the pool of a request has a backend server left, also one that is full, down or resting. */
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { isStaying } from './BackendServerState.js';

/** True if the pool has a backend server that stays and is not one of `excluded`. */
export function hasRemainingServer(
  state: EntryState,
  accepted: RequestState,
  excluded: ReadonlySet<string> = new Set(),
): boolean {
  return [...state.backendServers.values()].some(
    (server) =>
      server.platformInstance.pool === accepted.pool.name &&
      isStaying(server) &&
      !excluded.has(server.platformInstance.instance),
  );
}

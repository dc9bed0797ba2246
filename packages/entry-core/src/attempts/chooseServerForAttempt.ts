/**
 * Chooses the backend server for the next attempt of a request, and decides whether a request for
 * which there is none now waits for one.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { chooseBackendServer, type ChoiceOptions } from '../backendServers/chooseBackendServer.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { findTemporarilyExcludedInstances } from './findExcludedInstances.js';

/** Prefers a backend server that was not tried yet, then any other than the last one tried. */
export function chooseServerForAttempt(
  state: EntryState,
  accepted: RequestState,
  options: ChoiceOptions = {},
): BackendServerState | undefined {
  const untried = chooseBackendServer(state, accepted, options);
  if (untried !== undefined || accepted.attemptsStarted === 0) return untried;
  const tried = [...accepted.triedInstances];
  const chooseExcept = (instances: readonly string[]) =>
    chooseBackendServer(state, { ...accepted, triedInstances: new Set(instances) }, options);
  return chooseExcept(tried.slice(-1)) ?? chooseExcept([]);
}

/** Longest time that a started request waits while its pool is empty. */
const MAX_EMPTY_POOL_WAIT_MILLISECONDS = 30_000;

/** True if the pool has a backend server that is neither removed nor being reclaimed. */
function hasRemainingServer(state: EntryState, accepted: RequestState): boolean {
  return [...state.backendServers.values()].some(
    ({ platformInstance, goneAt }) =>
      platformInstance.pool === accepted.pool.name && goneAt === undefined,
  );
}

/** True if a backend server that is only temporarily excluded could take the request later. */
function hasTemporarilyExcludedServer(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  const excluded = findTemporarilyExcludedInstances(state, accepted, now);
  return [...state.backendServers.values()].some(
    ({ platformInstance, goneAt }) =>
      platformInstance.pool === accepted.pool.name &&
      goneAt === undefined &&
      excluded.has(platformInstance.instance),
  );
}

/**
 * True if a request that no backend server can take now should wait. A request that was started
 * before waits while its pool has a server, even a full or failed one, and for a limited time in an
 * empty pool: otherwise a reclaim of the whole pool would fail it before replacements start.
 */
export function canWaitForBackendServer(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  if (hasTemporarilyExcludedServer(state, accepted, now)) return true;
  if (accepted.attemptsStarted === 0) return false;
  accepted.waitingForServerSince ??= now;
  return (
    hasRemainingServer(state, accepted) ||
    now - accepted.waitingForServerSince < MAX_EMPTY_POOL_WAIT_MILLISECONDS
  );
}

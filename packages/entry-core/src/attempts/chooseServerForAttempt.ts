/**
 * Which backend server the next attempt of a request may go to, after what its earlier attempts
 * have ruled out.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { chooseBackendServer, type ChoiceOptions } from '../backendServers/chooseBackendServer.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { findTemporarilyExcludedInstances } from './findExcludedInstances.js';

/** Prefers a backend server that was not tried, then one other than the last that was. */
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

/** Longest wait of a started request for a backend server in a pool that has none at all. */
const MAX_EMPTY_POOL_WAIT_MILLISECONDS = 30_000;

/** True if the pool has a backend server that is not just gone or on its way out. */
function hasRemainingServer(state: EntryState, accepted: RequestState): boolean {
  return [...state.backendServers.values()].some(
    ({ platformInstance, goneAt }) =>
      platformInstance.pool === accepted.pool.name && goneAt === undefined,
  );
}

/** True if one that is ruled out only for now could take the request. */
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
 * True if a backend server may take the request before its deadline although none can now. A request
 * that was started waits for one that is full, starting or down, and for some time also in an empty pool,
 * where a replacement may be on its way. To refuse it would lose an accepted request to the
 * reclaim of its whole pool.
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

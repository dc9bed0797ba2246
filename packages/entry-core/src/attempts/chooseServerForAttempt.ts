/**
 * Chooses the backend server for the next attempt of a request, and decides whether the request may
 * wait if no server can take it now.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { isStaying, type BackendServerState } from '../backendServers/BackendServerState.js';
import { chooseBackendServer, type ChoiceOptions } from '../backendServers/chooseBackendServer.js';
import { hasRemainingServer } from '../backendServers/hasRemainingServer.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { chooseVersion } from '../rollouts/chooseVersion.js';
import { timeUntilRested } from '../statements/restAllowance.js';
import { findTemporarilyExcludedInstances } from './findExcludedInstances.js';

/** Prefers a backend server that was not tried yet, then any other than the last one tried. */
export function chooseServerForAttempt(
  state: EntryState,
  requestState: RequestState,
  options: ChoiceOptions = {},
): BackendServerState | undefined {
  const untried = chooseBackendServer(state, requestState, options);
  if (untried !== undefined || requestState.attemptsStarted === 0) return untried;
  const tried = [...requestState.triedInstances];
  const chooseExcept = (instances: readonly string[]) =>
    chooseBackendServer(state, { ...requestState, triedInstances: new Set(instances) }, options);
  return chooseExcept(tried.slice(-1)) ?? chooseExcept([]);
}

/** Longest time that a started request waits while its pool is empty. */
const MAX_EMPTY_POOL_WAIT_MILLISECONDS = 30_000;

/** How long a stream waits for a server of its version: one that has crashed is replaced in seconds. */
const MAX_VERSION_WAIT_MILLISECONDS = 4000;

/** True if a backend server that is only temporarily excluded could take the request later. */
function hasTemporarilyExcludedServer(state: EntryState, requestState: RequestState): boolean {
  const excluded = findTemporarilyExcludedInstances(state, requestState);
  const version = chooseVersion(state, requestState);
  return [...state.backendServers.values()].some(
    (server) =>
      server.platformInstance.pool === requestState.pool.name &&
      isStaying(server) &&
      excluded.has(server.platformInstance.instance) &&
      !version.excluded.has(server.platformInstance.instance),
  );
}

/**
 * True if a request that no server can take now may wait. Every request waits for a temporarily
 * excluded server. A started one also waits for a full or failed server and, for a limited time,
 * for replacements in an empty pool, so that it survives the reclaim of a whole pool. While other
 * versions are in use, an answer that has begun waits only for servers of its own, and only for some
 * seconds. None waits for servers that all want nothing until its deadline has passed.
 */
export function canWaitForBackendServer(
  state: EntryState,
  requestState: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  const restedAt = now + timeUntilRested(state, requestState.pool.name);
  if (restedAt >= requestState.wholeAnswerDueAt) return false;
  if (hasTemporarilyExcludedServer(state, requestState)) return true;
  if (requestState.attemptsStarted === 0 && requestState.isTakenUp !== true) return false;
  requestState.waitingForServerSince ??= now;
  const waitedFor = now - requestState.waitingForServerSince;
  const { excluded } = chooseVersion(state, requestState);
  if (requestState.boundVersion !== undefined && excluded.size > 0) {
    const hasVersion = hasRemainingServer(state, requestState, excluded);
    return hasVersion && waitedFor < MAX_VERSION_WAIT_MILLISECONDS;
  }
  return hasRemainingServer(state, requestState) || waitedFor < MAX_EMPTY_POOL_WAIT_MILLISECONDS;
}

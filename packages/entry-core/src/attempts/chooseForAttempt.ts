/**
 * Which backend server the next attempt of a request may go to, after what its earlier attempts
 * have ruled out.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { chooseBackendServer, type ChoiceOptions } from '../backendServers/chooseBackendServer.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { ruledOutForNow } from './ruledOut.js';

/** Prefers a backend server that was not tried, then one other than the last that was. */
export function chooseForAttempt(
  state: EntryState,
  accepted: RequestState,
  options: ChoiceOptions = {},
): BackendServerState | undefined {
  const untried = chooseBackendServer(state, accepted, options);
  if (untried !== undefined || accepted.attemptsStarted === 0) return untried;
  const tried = [...accepted.triedInstances];
  const except = (instances: readonly string[]) =>
    chooseBackendServer(state, { ...accepted, triedInstances: new Set(instances) }, options);
  return except(tried.slice(-1)) ?? except([]);
}

/**
 * True if a backend server that cannot take the request now may do so before its deadline. One that
 * was started waits for any that is full, starting, leaving or down: its place will be
 * taken by another. To refuse it would lose an accepted request to a reclaim of its whole pool.
 */
export function isWorthWaiting(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  const ruledOut = ruledOutForNow(state, accepted, now);
  return [...state.backendServers.values()].some(
    ({ listed, goneAt }) =>
      listed.pool === accepted.pool.name &&
      (accepted.attemptsStarted > 0 || (goneAt === undefined && ruledOut.has(listed.instance))),
  );
}

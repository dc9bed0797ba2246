/**
 * Which backend server the next attempt of a request may go to, after what its earlier attempts and
 * the losses seen here have ruled out.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { chooseBackendServer } from '../backendServers/chooseBackendServer.js';
import type { EntryState } from '../EntryState.js';
import { isSuspect, suspectHosts } from '../quarantine/suspects.js';
import { outOfTurn } from '../quarantine/suspectTurns.js';
import type { RequestState } from '../requests/RequestState.js';

/** Backend servers that are ruled out only for now. */
function ruledOutForNow(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Set<string> {
  const ruledOut = new Set(state.quarantine.losses.keys());
  const { digest, requestId } = accepted.request;
  if (state.retries.policy.suspectsApart && isSuspect(state, digest)) {
    suspectHosts(state, requestId).forEach((instance) => ruledOut.add(instance));
    outOfTurn(state, now).forEach((instance) => ruledOut.add(instance));
  }
  return ruledOut;
}

function chooseWithout(state: EntryState, accepted: RequestState, ruledOut: Set<string>) {
  return chooseBackendServer(state, { ...accepted, triedInstances: ruledOut });
}

/** Prefers a backend server that was not tried, then one other than the last that was. */
export function chooseForAttempt(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): BackendServerState | undefined {
  const ruledOut = ruledOutForNow(state, accepted, now);
  state.quarantine.down.forEach((_, instance) => ruledOut.add(instance));
  const tried = [...accepted.triedInstances];
  const untried = chooseWithout(state, accepted, new Set([...ruledOut, ...tried]));
  if (untried !== undefined || accepted.attemptsStarted === 0) return untried;
  const exceptLast = new Set([...ruledOut, ...tried.slice(-1)]);
  return chooseWithout(state, accepted, exceptLast) ?? chooseWithout(state, accepted, ruledOut);
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

/**
 * Decides whether a request waits for the server that has its prompt prefix cached, although
 * another server has capacity. Computing prompts again makes queues longer, more requests then find
 * their server full, and in the end the caches become useless. The wait is limited to a fraction of
 * the time to the deadline, so that it does not make the request late.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { findExcludedInstances } from '../attempts/findExcludedInstances.js';
import { acceptsNewWork, type BackendServerState } from '../backendServers/BackendServerState.js';
import { nextTokenDueAt } from '../backendServers/chooseBackendServer.js';
import { hasCapacity } from '../backendServers/hasCapacity.js';
import type { PoolState } from '../backendServers/PoolState.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { PrefixHolder } from '../backendServers/PrefixCacheIndex.js';
import type { EntryState } from '../EntryState.js';
import { isRateLimited } from '../statements/rateAllowance.js';
import type { RequestState } from '../requests/RequestState.js';

/** A smaller saving of prefill time does not justify waiting. */
const MIN_SAVING_MILLISECONDS: Milliseconds = 20;
const MAX_WAIT_FRACTION_OF_TIME_TO_DEADLINE = 0.3;

export function shouldWaitForCache(
  state: EntryState,
  accepted: RequestState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): boolean {
  // A stream that resumes at another server must not be delayed.
  if (accepted.attemptsStarted > 0 || accepted.isTakenUp === true) return false;
  const timeToDeadline = nextTokenDueAt(accepted) - accepted.arrivedAt;
  if (now - accepted.arrivedAt >= timeToDeadline * MAX_WAIT_FRACTION_OF_TIME_TO_DEADLINE)
    return false;
  const poolState = getPoolState(state, accepted.pool.name);
  const { request } = accepted;
  const holder = findHolder(state, poolState, accepted, server);
  // If the holder has capacity, it was not chosen for reasons that waiting does not change.
  if (holder === undefined || hasCapacity(state, poolState, holder.server, accepted)) return false;
  const additionalFraction =
    holder.cachedFraction - poolState.prefixCacheIndex.cachedFractionAt(server, request, now);
  return (
    poolState.firstTokenRegression.predictMarginalDelay(
      additionalFraction * request.promptTokens,
    ) >= MIN_SAVING_MILLISECONDS
  );
}

/**
 * The server in the same group as `server` that is estimated to hold the longest cached prefix. One
 * that names a limit is not waited for.
 */
function findHolder(
  state: EntryState,
  poolState: PoolState,
  accepted: RequestState,
  server: BackendServerState,
): PrefixHolder | undefined {
  const { now } = state.clocks;
  const group = poolState.groupOf(server);
  const excluded = findExcludedInstances(state, accepted, now);
  return poolState.prefixCacheIndex
    .findHolders(accepted.request, now)
    .filter((holder) => group.hasCandidate(holder.server) && acceptsNewWork(holder.server))
    .filter((holder) => !isRateLimited(state, holder.server))
    .find((holder) => !excluded.has(holder.server.platformInstance.instance));
}

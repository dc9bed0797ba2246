/**
 * Whether a request waits for a server that has its prefix although another has room. Sent
 * elsewhere its prompt is computed anew, which costs what a few known prompts do; in a rush that
 * makes queues longer, so more requests find their own server full, and so on until no cache is of
 * use. Waiting is bounded by a share of the patience, so that it never costs a deadline.
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
import type { RequestState } from '../requests/RequestState.js';

/** Computing less than this anew is not worth any wait. */
const MIN_SAVING_MILLISECONDS: Milliseconds = 20;
/** Share of the patience that may be spent on waiting for a server with the prefix. */
const MAX_WAIT_FRACTION_OF_PATIENCE = 0.3;

export function shouldWaitForCache(
  state: EntryState,
  accepted: RequestState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): boolean {
  // A stream that goes on elsewhere must not pause for a cache.
  if (accepted.attemptsStarted > 0) return false;
  const patience = nextTokenDueAt(accepted) - accepted.arrivedAt;
  if (now - accepted.arrivedAt >= patience * MAX_WAIT_FRACTION_OF_PATIENCE) return false;
  const poolState = getPoolState(state, accepted.pool.name);
  const { request } = accepted;
  const holder = findHolder(state, poolState, accepted, server);
  // One that has room was not chosen for other reasons; waiting would not change them.
  if (holder === undefined || hasCapacity(state, poolState, holder.server, accepted)) return false;
  const additionalFraction =
    holder.cachedFraction - poolState.prefixCacheIndex.cachedFractionAt(server, request, now);
  return (
    poolState.firstTokenRegression.predictMarginalDelay(
      additionalFraction * request.promptTokens,
    ) >= MIN_SAVING_MILLISECONDS
  );
}

/** The server near `server` that is believed to have the longest prefix. */
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
    .filter((holder) => group.has(holder.server) && acceptsNewWork(holder.server))
    .find((holder) => !excluded.has(holder.server.platformInstance.instance));
}

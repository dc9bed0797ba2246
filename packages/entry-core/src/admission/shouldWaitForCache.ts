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
const LEAST_SAVING_MILLISECONDS: Milliseconds = 20;
/** Share of the patience that may be spent on waiting for a server with the prefix. */
const HOLD_SHARE = 0.3;

export function shouldWaitForCache(
  state: EntryState,
  accepted: RequestState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): boolean {
  // A stream that goes on elsewhere must not pause for a cache.
  if (accepted.attemptsStarted > 0) return false;
  const patience = nextTokenDueAt(accepted) - accepted.arrivedAt;
  if (now - accepted.arrivedAt >= patience * HOLD_SHARE) return false;
  const pool = getPoolState(state, accepted.pool.name);
  const { request } = accepted;
  const holder = findHolder(state, pool, accepted, server);
  // One that has room was not chosen for other reasons; waiting would not change them.
  if (holder === undefined || hasCapacity(state, pool, holder.server, accepted)) return false;
  const more = holder.cachedFraction - pool.prefixCacheIndex.cachedFractionAt(server, request, now);
  return (
    pool.firstTokenRegression.predictMarginalDelay(more * request.promptTokens) >=
    LEAST_SAVING_MILLISECONDS
  );
}

/** The server near `server` that is believed to have the longest prefix. */
function findHolder(
  state: EntryState,
  pool: PoolState,
  accepted: RequestState,
  server: BackendServerState,
): PrefixHolder | undefined {
  const { now } = state.clocks;
  const group = pool.groupOf(server);
  const excluded = findExcludedInstances(state, accepted, now);
  return pool.prefixCacheIndex
    .findHolders(accepted.request, now)
    .filter((held) => group.has(held.server) && acceptsNewWork(held.server))
    .find((held) => !excluded.has(held.server.platformInstance.instance));
}

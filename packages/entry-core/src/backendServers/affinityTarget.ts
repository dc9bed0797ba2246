/** Finds the backend server that is to cache a new shared prefix, so that the prefix is prefilled once. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import type { PoolState } from './PoolState.js';

/** The server that is to prefill and cache a prefix shared by several requests. */
export interface AffinityTarget {
  readonly server: BackendServerState;
  /** Tokens of the shared prefix. */
  readonly sharedTokens: number;
}

/**
 * The affinity target of the shared prefix, which is all but the last part of the prompt. Undefined
 * if some server is estimated to have cached it already.
 */
export function findAffinityTarget(
  pool: PoolState,
  { request }: RequestState,
  now: MonotonicMilliseconds,
): AffinityTarget | undefined {
  const { prefixDigests, prefixTokens } = request;
  const digest = prefixDigests.at(-2);
  const sharedTokens = prefixTokens?.at(-2);
  if (digest === undefined || sharedTokens === undefined) return undefined;
  if (pool.prefixCacheIndex.isCachedAnywhere(digest, now)) return undefined;
  const server = pool.prefixHashRing.findServer(digest);
  return server === undefined ? undefined : { server, sharedTokens };
}

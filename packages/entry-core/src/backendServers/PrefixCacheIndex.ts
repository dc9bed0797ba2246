/**
 * Estimates which backend servers of a pool have cached which prompt prefixes. Cache events are
 * late and may be lost, so the index is only a hint: cached copies expire, and all copies of a
 * server become invalid when one of its events is missing or its cache was cleared. A wrong
 * estimate costs one prefill and nothing else, because a server computes whatever it has not
 * cached.
 */
import type { CacheEvent, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { BackendServerState } from './BackendServerState.js';

const CACHED_PREFIX_LIFETIME_MILLISECONDS: Milliseconds = 120_000;
const MAX_PREFIXES = 50_000;
const MAX_SERVERS_PER_PREFIX = 4;

interface CachedCopy {
  readonly server: BackendServerState;
  readonly generation: number;
  readonly expiresAt: MonotonicMilliseconds;
}

/**
 * A server estimated to have cached a prefix, and the fraction of the prompt that the prefix
 * covers.
 */
export interface PrefixHolder {
  readonly server: BackendServerState;
  readonly cachedFraction: number;
}

/** What identifies a prompt's prefixes: digests, and token counts where known. */
export type PromptPrefixes = Pick<CallerRequest, 'prefixDigests' | 'prefixTokens' | 'promptTokens'>;

/**
 * Fraction of the prompt covered by its first `prefixCount` prefix parts: of its tokens if the
 * token counts are known, otherwise of its number of parts.
 */
function computeCachedFraction(
  { prefixDigests, prefixTokens, promptTokens }: PromptPrefixes,
  prefixCount: number,
): number {
  const tokens = prefixTokens?.[prefixCount - 1];
  if (tokens === undefined || promptTokens <= 0) return prefixCount / prefixDigests.length;
  return Math.min(1, tokens / promptTokens);
}

function isValid(
  { server, generation, expiresAt }: CachedCopy,
  now: MonotonicMilliseconds,
): boolean {
  return now < expiresAt && generation === server.balancing.cacheGeneration;
}

export class PrefixCacheIndex {
  private readonly copiesByDigest = new Map<string, readonly CachedCopy[]>();

  /** Records that the server has cached these prefixes. */
  recordCached(
    server: BackendServerState,
    digests: readonly string[],
    now: MonotonicMilliseconds,
  ): void {
    const generation = server.balancing.cacheGeneration;
    const copy = { server, generation, expiresAt: now + CACHED_PREFIX_LIFETIME_MILLISECONDS };
    for (const digest of digests) {
      const otherCopies = this.findValidCopies(digest, now).filter(
        (other) => other.server !== server,
      );
      // Deleted first, so that the map is ordered from least to most recently used.
      this.copiesByDigest.delete(digest);
      this.copiesByDigest.set(digest, [copy, ...otherCopies].slice(0, MAX_SERVERS_PER_PREFIX));
    }
    this.evictLeastRecentlyUsed();
  }

  /** The servers estimated to have cached the longest known prefix of the prompt. */
  findHolders(prompt: PromptPrefixes, now: MonotonicMilliseconds): PrefixHolder[] {
    const { prefixDigests: digests } = prompt;
    for (let { length: prefixCount } = digests; prefixCount > 0; prefixCount -= 1) {
      const copies = this.findValidCopies(digests[prefixCount - 1] ?? '', now);
      if (copies.length > 0) {
        const cachedFraction = computeCachedFraction(prompt, prefixCount);
        return copies.map(({ server }) => ({ server, cachedFraction }));
      }
    }
    return [];
  }

  /** Fraction of the prompt that the server is estimated to have cached. */
  cachedFractionAt(
    server: BackendServerState,
    prompt: PromptPrefixes,
    now: MonotonicMilliseconds,
  ): number {
    const { prefixDigests: digests } = prompt;
    for (let { length: prefixCount } = digests; prefixCount > 0; prefixCount -= 1) {
      const copies = this.findValidCopies(digests[prefixCount - 1] ?? '', now);
      if (copies.some((copy) => copy.server === server))
        return computeCachedFraction(prompt, prefixCount);
    }
    return 0;
  }

  /** True if any server is estimated to have cached this prefix. */
  isCachedAnywhere(digest: string, now: MonotonicMilliseconds): boolean {
    return this.findValidCopies(digest, now).length > 0;
  }

  /** Applies a cache event of one of the pool's servers. */
  applyCacheEvent(server: BackendServerState, event: CacheEvent, now: MonotonicMilliseconds): void {
    const { balancing } = server;
    if (event.sequence === balancing.lastCacheSequence) return;
    const isNext = (balancing.lastCacheSequence ?? event.sequence - 1) + 1 === event.sequence;
    balancing.lastCacheSequence = event.sequence;
    // A missing event may have been an eviction, and requests would be sent to a server that no
    // longer has their prefix. Invalidating all copies of this server is enough, because the index
    // is only a hint.
    if (!isNext || event.change === 'cleared') balancing.cacheGeneration += 1;
    if (event.change === 'stored') this.recordCached(server, event.prefixDigests, now);
    if (event.change === 'evicted') this.recordEvicted(server, event.prefixDigests, now);
  }

  private recordEvicted(
    server: BackendServerState,
    digests: readonly string[],
    now: MonotonicMilliseconds,
  ): void {
    for (const digest of digests) {
      const otherCopies = this.findValidCopies(digest, now).filter(
        (other) => other.server !== server,
      );
      if (otherCopies.length > 0) this.copiesByDigest.set(digest, otherCopies);
      else this.copiesByDigest.delete(digest);
    }
  }

  private findValidCopies(digest: string, now: MonotonicMilliseconds): readonly CachedCopy[] {
    return (this.copiesByDigest.get(digest) ?? []).filter((copy) => isValid(copy, now));
  }

  private evictLeastRecentlyUsed(): void {
    for (const digest of this.copiesByDigest.keys()) {
      if (this.copiesByDigest.size <= MAX_PREFIXES) return;
      this.copiesByDigest.delete(digest);
    }
  }
}

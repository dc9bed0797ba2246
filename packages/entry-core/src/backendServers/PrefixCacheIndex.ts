/**
 * What is believed of the prefix caches of one pool. Cache events come late and with gaps, so a
 * belief is a hint only: it expires, and all beliefs about a server are dropped at once when an
 * event is missing or its cache was cleared. A wrong belief costs one prefill and nothing else,
 * because the engine computes whatever it does not have.
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

/** A server believed to have a prefix, and which share of the prompt that prefix is. */
export interface PrefixHolder {
  readonly server: BackendServerState;
  readonly cachedFraction: number;
}

/** The parts of a request's prompt that may be cached. */
export type PromptPrefixes = Pick<CallerRequest, 'prefixDigests' | 'prefixTokens' | 'promptTokens'>;

/**
 * Which share of the prompt its first prefixes are, by tokens. Where they are not told, all parts
 * are taken to be equally long.
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

  /** Believes that the server has these prefixes from now on. */
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
      // Written anew, so that the map's order is from least to most lately used.
      this.copiesByDigest.delete(digest);
      this.copiesByDigest.set(digest, [copy, ...otherCopies].slice(0, MAX_SERVERS_PER_PREFIX));
    }
    this.evictLeastRecentlyUsed();
  }

  /** Servers that are believed to have the longest known prefix of the prompt. */
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

  /** The share of the prompt that one server is believed to have. */
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

  /** True if any server is believed to have this very prefix. */
  isCachedAnywhere(digest: string, now: MonotonicMilliseconds): boolean {
    return this.findValidCopies(digest, now).length > 0;
  }

  /** Takes in one cache event of a server of this pool. */
  applyCacheEvent(server: BackendServerState, event: CacheEvent, now: MonotonicMilliseconds): void {
    const { balancing } = server;
    if (event.sequence === balancing.lastCacheSequence) return;
    const isNext = (balancing.lastCacheSequence ?? event.sequence - 1) + 1 === event.sequence;
    balancing.lastCacheSequence = event.sequence;
    // A missing event may have been an eviction: requests would be sent after a cache that is
    // gone. Dropping every belief about this server is enough, since no belief is ever needed.
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

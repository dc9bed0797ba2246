/**
 * What is believed of the prefix caches of one pool. Cache events come late and with gaps, so a
 * belief is a hint only: it expires, and all beliefs about a server are dropped at once when an
 * event is missing or its cache was cleared. A wrong belief costs one prefill and nothing else,
 * because the engine computes whatever it does not have.
 */
import type { CacheEvent, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { BackendServerState } from './BackendServerState.js';

const BELIEVED_MILLISECONDS: Milliseconds = 120_000;
const MOST_PREFIXES = 50_000;
const MOST_SERVERS_PER_PREFIX = 4;

interface Belief {
  readonly server: BackendServerState;
  readonly generation: number;
  readonly until: MonotonicMilliseconds;
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
function shareOf(
  { prefixDigests, prefixTokens, promptTokens }: PromptPrefixes,
  length: number,
): number {
  const tokens = prefixTokens?.[length - 1];
  if (tokens === undefined || promptTokens <= 0) return length / prefixDigests.length;
  return Math.min(1, tokens / promptTokens);
}

function stillHolds({ server, generation, until }: Belief, now: MonotonicMilliseconds): boolean {
  return now < until && generation === server.balancing.cacheGeneration;
}

export class PrefixCacheIndex {
  private readonly byDigest = new Map<string, readonly Belief[]>();

  /** Believes that the server has these prefixes from now on. */
  recordCached(
    server: BackendServerState,
    digests: readonly string[],
    now: MonotonicMilliseconds,
  ): void {
    const generation = server.balancing.cacheGeneration;
    const belief = { server, generation, until: now + BELIEVED_MILLISECONDS };
    for (const digest of digests) {
      const others = this.holders(digest, now).filter((held) => held.server !== server);
      // Written anew, so that the map's order is from least to most lately used.
      this.byDigest.delete(digest);
      this.byDigest.set(digest, [belief, ...others].slice(0, MOST_SERVERS_PER_PREFIX));
    }
    this.forgetOldest();
  }

  /** Servers that are believed to have the longest known prefix of the prompt. */
  findHolders(prompt: PromptPrefixes, now: MonotonicMilliseconds): PrefixHolder[] {
    const { prefixDigests: digests } = prompt;
    for (let { length } = digests; length > 0; length -= 1) {
      const held = this.holders(digests[length - 1] ?? '', now);
      if (held.length > 0) {
        const share = shareOf(prompt, length);
        return held.map(({ server }) => ({ server, cachedFraction: share }));
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
    for (let { length } = digests; length > 0; length -= 1) {
      const held = this.holders(digests[length - 1] ?? '', now);
      if (held.some((belief) => belief.server === server)) return shareOf(prompt, length);
    }
    return 0;
  }

  /** True if any server is believed to have this very prefix. */
  isCachedAnywhere(digest: string, now: MonotonicMilliseconds): boolean {
    return this.holders(digest, now).length > 0;
  }

  /** Takes in one cache event of a server of this pool. */
  applyCacheEvent(server: BackendServerState, event: CacheEvent, now: MonotonicMilliseconds): void {
    const { balancing: balance } = server;
    if (event.sequence === balance.lastCacheSequence) return;
    const isNext = (balance.lastCacheSequence ?? event.sequence - 1) + 1 === event.sequence;
    balance.lastCacheSequence = event.sequence;
    // A missing event may have been an eviction: requests would be sent after a cache that is
    // gone. Dropping every belief about this server is enough, since no belief is ever needed.
    if (!isNext || event.change === 'cleared') balance.cacheGeneration += 1;
    if (event.change === 'stored') this.recordCached(server, event.prefixDigests, now);
    if (event.change === 'evicted') this.disbelieve(server, event.prefixDigests, now);
  }

  private disbelieve(
    server: BackendServerState,
    digests: readonly string[],
    now: MonotonicMilliseconds,
  ): void {
    for (const digest of digests) {
      const others = this.holders(digest, now).filter((held) => held.server !== server);
      if (others.length > 0) this.byDigest.set(digest, others);
      else this.byDigest.delete(digest);
    }
  }

  private holders(digest: string, now: MonotonicMilliseconds): readonly Belief[] {
    return (this.byDigest.get(digest) ?? []).filter((belief) => stillHolds(belief, now));
  }

  private forgetOldest(): void {
    for (const digest of this.byDigest.keys()) {
      if (this.byDigest.size <= MOST_PREFIXES) return;
      this.byDigest.delete(digest);
    }
  }
}

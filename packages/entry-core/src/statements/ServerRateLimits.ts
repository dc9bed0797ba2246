/**
 * The limits on requests per second that backend servers name, and how much of them this entry has
 * used. A server in need names a limit in its answers, for all entries together and for as long as
 * its answers name it. Entries tell each other, and the newest statement about a server holds.
 */
import type {
  EpochMilliseconds,
  Milliseconds,
  MonotonicMilliseconds,
  StatedRateLimit,
} from '@hornbeampond/schema';
import { NewestStatements } from './NewestStatements.js';
import { TokenBucket } from './TokenBucket.js';
import type { RateShare } from './shareRateLimit.js';

/** How long a share is used before it is computed again. */
const SHARE_VALIDITY_MILLISECONDS: Milliseconds = 1000;

/** This entry's share of one limit, and what is left of it. */
interface ShareInUse {
  readonly bucket: TokenBucket;
  share: RateShare;
  computedAt: MonotonicMilliseconds;
}

export class ServerRateLimits {
  private readonly stated = new NewestStatements<StatedRateLimit>();

  private readonly sharesInUse = new Map<string, ShareInUse>();

  /** The limit in force; infinite for a server without one. */
  at(instance: string): number {
    return this.stated.get(instance)?.requestsPerSecond ?? Infinity;
  }

  timeOfNext(instance: string, wallNow: EpochMilliseconds): EpochMilliseconds {
    return this.stated.timeOfNext(instance, wallNow);
  }

  /** The servers with a limit. */
  get limitedInstances(): string[] {
    return this.stated.instances.filter((instance) => this.at(instance) < Infinity);
  }

  /** Records a statement; returns the one that it replaces, or false if that one is not older. */
  record(instance: string, limit: StatedRateLimit): StatedRateLimit | undefined | false {
    const previous = this.stated.record(instance, limit);
    if (previous === false) return false;
    const inUse = this.sharesInUse.get(instance);
    if (inUse !== undefined && previous?.requestsPerSecond !== limit.requestsPerSecond) {
      inUse.computedAt = Number.NEGATIVE_INFINITY;
    }
    return previous;
  }

  /** What this entry knows, for its report to the others. */
  describe(): Readonly<Record<string, StatedRateLimit>> {
    return this.stated.describe();
  }

  /**
   * The share of this entry, and how many requests it may send now.
   *
   * @param computeShare - Called now and then, since the number of entries changes.
   */
  useShare(
    instance: string,
    now: MonotonicMilliseconds,
    computeShare: () => RateShare,
  ): { readonly share: RateShare; readonly tokens: number } {
    const inUse = this.sharesInUse.get(instance) ?? this.startShare(instance, now, computeShare());
    if (now - inUse.computedAt >= SHARE_VALIDITY_MILLISECONDS) {
      inUse.share = computeShare();
      inUse.computedAt = now;
    }
    const { share, bucket } = inUse;
    return { share, tokens: bucket.fill(share.requestsPerSecond, now) };
  }

  /** Counts a request that is sent to a server with a limit. */
  take(instance: string): void {
    this.sharesInUse.get(instance)?.bucket.take();
  }

  /** Forgets servers that are no longer listed, and limits that ended long ago. */
  retainOnly(isListed: (instance: string) => boolean, wallNow: EpochMilliseconds): void {
    const isInForce = ({ requestsPerSecond }: StatedRateLimit) => requestsPerSecond < Infinity;
    const forgotten = this.stated.retainOnly(isListed, isInForce, wallNow);
    forgotten.forEach((instance) => this.sharesInUse.delete(instance));
  }

  /** The first tokens of the entries that share a limit are spread over time. */
  private startShare(instance: string, now: MonotonicMilliseconds, share: RateShare): ShareInUse {
    const tokens = share.users === 0 ? 0 : (share.rank + 1) / share.users;
    const started = { bucket: new TokenBucket(tokens, now), share, computedAt: now };
    this.sharesInUse.set(instance, started);
    return started;
  }
}

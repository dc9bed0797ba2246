/** What an entry has learnt of one backend server from its own attempts and from load reports. */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** One attempt of this entry that has ended, kept until a load report is younger than it. */
export interface EndedAttempt {
  readonly startedAt: MonotonicMilliseconds;
  readonly endedAt: MonotonicMilliseconds;
}

/** One prompt that is waiting for its first token. */
export interface PendingPrompt {
  /** Its tokens that are believed not to be in the cache. */
  readonly uncachedTokens: number;
  /** These, and those of the prompts that were pending there when it was sent. */
  readonly tokensUntilFirstToken: number;
}

export interface BalancingState {
  /** Requests that its class runs at full speed; the adaptive limit never goes above. */
  maxLimit: number;
  /** Adaptive limit of requests in progress, of all entries together. */
  limit: number;
  limitLoweredAt: MonotonicMilliseconds;
  /** When slow start began, or undefined for a server that was there before this entry. */
  slowStartAt: MonotonicMilliseconds | undefined;
  /** Requests of other entries in progress when load was measured last. */
  otherEntriesInProgress: number;
  /** Own requests in progress when load was measured last. */
  ownInProgressAtMeasurement: number;
  /** When load was measured last, by the clock of this entry. */
  measuredAt: MonotonicMilliseconds | undefined;
  /** Own attempts that ended lately, oldest first. */
  readonly endedAttempts: EndedAttempt[];
  /** Prompts that this entry has sent there and that have no first token yet, by attempt id. */
  readonly pendingPrompts: Map<string, PendingPrompt>;
  /** Its first-token delay relative to what is usual in its pool. */
  slowness: number;
  slownessUpdatedAt: MonotonicMilliseconds;
  consecutiveFailures: number;
  /** Outcomes that still count, halved now and then so that old ones fade. */
  successes: number;
  failures: number;
  ejectedUntil: MonotonicMilliseconds | undefined;
  /** Ejections in a row; each one lasts longer. */
  consecutiveEjections: number;
  /** Highest sequence of cache events taken in. */
  lastCacheSequence: number | undefined;
  /** Beliefs about its cache count only if they were made in this generation. */
  cacheGeneration: number;
  /** Its place in the candidates of its pool, or undefined if it is not among them. */
  candidateIndex: number | undefined;
}

export function makeBalancingState(
  maxLimit: number,
  slowStartAt: MonotonicMilliseconds | undefined,
): BalancingState {
  return {
    maxLimit,
    limit: maxLimit,
    limitLoweredAt: Number.NEGATIVE_INFINITY,
    slowStartAt,
    otherEntriesInProgress: 0,
    ownInProgressAtMeasurement: 0,
    measuredAt: undefined,
    endedAttempts: [],
    pendingPrompts: new Map(),
    slowness: 1,
    slownessUpdatedAt: 0,
    consecutiveFailures: 0,
    successes: 0,
    failures: 0,
    ejectedUntil: undefined,
    consecutiveEjections: 0,
    lastCacheSequence: undefined,
    cacheGeneration: 0,
    candidateIndex: undefined,
  };
}

const SLOW_START_MILLISECONDS: Milliseconds = 10_000;
const MIN_SLOW_START_FRACTION_OF_LIMIT = 0.2;

/**
 * Requests that may be in progress there now. A server that has just come up has cold caches and
 * may still be loading: without slow start it looks idle, draws the whole rush in one moment and
 * is late for all of it. Ten seconds let its own delays show before it gets its full share.
 */
export function currentLimit(balancing: BalancingState, now: MonotonicMilliseconds): number {
  const { slowStartAt, limit } = balancing;
  if (slowStartAt === undefined) return limit;
  const elapsedFraction = Math.min(1, Math.max(0, now - slowStartAt) / SLOW_START_MILLISECONDS);
  return Math.max(
    1,
    limit *
      (MIN_SLOW_START_FRACTION_OF_LIMIT + (1 - MIN_SLOW_START_FRACTION_OF_LIMIT) * elapsedFraction),
  );
}

const SLOWNESS_HALF_LIFE_MILLISECONDS: Milliseconds = 10_000;

/**
 * First-token delay relative to the pool's, as far as it is still believed. It fades: a slow server
 * is passed over, so nothing would ever show that it is well again.
 */
export function currentSlowness(balancing: BalancingState, now: MonotonicMilliseconds): number {
  const age = now - balancing.slownessUpdatedAt;
  return 1 + (balancing.slowness - 1) * 0.5 ** (age / SLOWNESS_HALF_LIFE_MILLISECONDS);
}

/**
 * Load-balancing state that an entry keeps for one backend server, from its own attempts and from
 * load reports.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** An ended attempt of this entry, kept until a load report was measured after its end. */
export interface EndedAttempt {
  readonly startedAt: MonotonicMilliseconds;
  readonly endedAt: MonotonicMilliseconds;
}

/** A prompt sent to the server that has no first token yet. */
export interface PendingPrompt {
  /** Tokens estimated not to be in the prefix cache of the server. */
  readonly uncachedTokens: number;
  /** `uncachedTokens` plus the tokens that were pending at the server when the prompt was sent. */
  readonly tokensUntilFirstToken: number;
}

export interface BalancingState {
  /** Concurrency of the instance class, which is the maximum of `limit`. */
  maxLimit: number;
  /** Adaptive concurrency limit, for the requests of all entries together. */
  limit: number;
  limitLoweredAt: MonotonicMilliseconds;
  /** When slow start began; undefined for a server that was running before this entry. */
  slowStartAt: MonotonicMilliseconds | undefined;
  /** Requests of other entries in progress at `measuredAt`. */
  otherEntriesInProgress: number;
  /** Requests of this entry in progress at `measuredAt`. */
  ownInProgressAtMeasurement: number;
  /** When the last load report was measured, by the clock of this entry. */
  measuredAt: MonotonicMilliseconds | undefined;
  /** Recently ended attempts of this entry, oldest first. */
  readonly endedAttempts: EndedAttempt[];
  /** Prompts of this entry that have no first token yet, keyed by attempt id. */
  readonly pendingPrompts: Map<string, PendingPrompt>;
  /** Moving average of the ratio of measured to predicted first-token delay. */
  slowness: number;
  slownessUpdatedAt: MonotonicMilliseconds;
  consecutiveFailures: number;
  /**
   * Outcomes of attempts; both counts are halved from time to time, so that recent ones weigh more.
   */
  successes: number;
  failures: number;
  ejectedUntil: MonotonicMilliseconds | undefined;
  /** Ejections since the server last had enough successes; each one lasts longer. */
  consecutiveEjections: number;
  /** Sequence number of the last cache event. */
  lastCacheSequence: number | undefined;
  /** Incremented to invalidate all copies that `PrefixCacheIndex` holds for the server. */
  cacheGeneration: number;
  /** Position among the candidates of its group; undefined if it is not one of them. */
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

/** Long enough for the server's own delays to show before it gets its full share. */
const SLOW_START_MILLISECONDS: Milliseconds = 10_000;
const MIN_SLOW_START_FRACTION_OF_LIMIT = 0.2;

/**
 * The adaptive concurrency limit, reduced during slow start. A server that has just started has
 * cold caches but looks idle; without slow start it would receive a burst of requests and answer
 * all of them late.
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
 * The current slowness, which decays towards 1. A slow server gets little work, so without the
 * decay no new sample would show that it has recovered.
 */
export function currentSlowness(balancing: BalancingState, now: MonotonicMilliseconds): number {
  const age = now - balancing.slownessUpdatedAt;
  return 1 + (balancing.slowness - 1) * 0.5 ** (age / SLOWNESS_HALF_LIFE_MILLISECONDS);
}

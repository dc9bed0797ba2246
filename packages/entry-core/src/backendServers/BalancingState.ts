/**
 * Load-balancing state of one backend server, estimated by an entry from its own attempts and from
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
  /** `uncachedTokens` and the tokens that were pending at the server when the prompt was sent. */
  readonly tokensUntilFirstToken: number;
}

export interface BalancingState {
  /** Concurrency of the instance class; `limit` never exceeds it. */
  maxLimit: number;
  /** Adaptive limit of the requests that all entries together have in progress at the server. */
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
  /** Prompts of this entry that have no first token yet, by attempt id. */
  readonly pendingPrompts: Map<string, PendingPrompt>;
  /** Moving average of the ratio of measured to predicted first-token delay. */
  slowness: number;
  slownessUpdatedAt: MonotonicMilliseconds;
  consecutiveFailures: number;
  /** Recent outcomes: both counts are halved regularly. */
  successes: number;
  failures: number;
  ejectedUntil: MonotonicMilliseconds | undefined;
  /** Ejections since the server last recovered; each one lasts longer. */
  consecutiveEjections: number;
  /** Sequence number of the last cache event. */
  lastCacheSequence: number | undefined;
  /** Incremented to invalidate all that `PrefixCacheIndex` holds about the server. */
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

const SLOW_START_MILLISECONDS: Milliseconds = 10_000;
const MIN_SLOW_START_FRACTION_OF_LIMIT = 0.2;

/**
 * The adaptive limit, reduced during slow start. A server that has just started has cold caches but
 * looks idle; without slow start it would receive a burst of requests and answer all of them late.
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
 * `slowness`, decaying to 1. A slow server is given little work, so without the decay nothing would
 * show that it has recovered.
 */
export function currentSlowness(balancing: BalancingState, now: MonotonicMilliseconds): number {
  const age = now - balancing.slownessUpdatedAt;
  return 1 + (balancing.slowness - 1) * 0.5 ** (age / SLOWNESS_HALF_LIFE_MILLISECONDS);
}

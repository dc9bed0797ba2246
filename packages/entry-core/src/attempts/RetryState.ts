/**
 * The part of an entry's state that concerns retries: the budgets that limit them, the requests
 * that wait for an attempt, the random generator for back-off delays, and the switches of the
 * recovery mechanisms.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

/** Retries that are still allowed in one pool, or after failures of one backend server. */
export interface RetryBudget {
  remainingRetries: number;
}

/**
 * A request that waits to start its next attempt, possibly its first: for its back-off to end or
 * for a backend server.
 */
export interface WaitingRequest {
  readonly requestId: string;
  readonly waitsFor: 'backOff' | 'backendServer';
  /** When the back-off ends, or when a request that waits for a backend server checks again. */
  readonly dueAt: MonotonicMilliseconds;
}

/** Switches of the recovery mechanisms; only measurements and tests turn any of them off. */
export interface RecoveryPolicy {
  /** Retries consume the retry budgets. */
  readonly limitRetries: boolean;
  /** Streams are migrated off a backend server that has a reclaim notice, before it is removed. */
  readonly migrateOnNotice: boolean;
  /** A stream may be migrated together with its KV cache. */
  readonly moveCaches: boolean;
  /** A retried stream resumes at its token offset instead of starting over. */
  readonly resumeFromOffset: boolean;
  /** Requests suspected of causing a crash never share a backend server. */
  readonly isolateSuspects: boolean;
}

export const fullRecoveryPolicy: RecoveryPolicy = {
  limitRetries: true,
  migrateOnNotice: true,
  moveCaches: true,
  resumeFromOffset: true,
  isolateSuspects: true,
};

export interface RetryState {
  policy: RecoveryPolicy;
  readonly generator: RandomGenerator;
  readonly budgetsByPool: Map<string, RetryBudget>;
  readonly budgetsByInstance: Map<string, RetryBudget>;
  /** Hedges saved up from what the retry budget of a pool could not hold, by pool. */
  readonly savedHedgesByPool: Map<string, number>;
  /** By request id. */
  readonly waiting: Map<string, WaitingRequest>;
}

/** Hashes the seed text with FNV-1a, so that each entry process draws its own back-off delays. */
function hashSeedText(seedText: string): number {
  let hash = 0x811c9dc5;
  for (let position = 0; position < seedText.length; position += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ seedText.charCodeAt(position), 0x01000193);
  }
  return hash;
}

export function makeRetryState(seedText: string): RetryState {
  return {
    policy: fullRecoveryPolicy,
    generator: xoroshiro128plus(hashSeedText(seedText)),
    budgetsByPool: new Map(),
    budgetsByInstance: new Map(),
    savedHedgesByPool: new Map(),
    waiting: new Map(),
  };
}

/** What an entry keeps to bound its retries. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

/** Retries that one route, or one backend server, may still cause. */
export interface RetryBudget {
  tokens: number;
}

/** A request between two attempts: it backs off, or waits for a backend server that it may go to. */
export interface WaitingRetry {
  readonly requestId: string;
  readonly waitsFor: 'backOff' | 'backendServer';
  readonly dueAt: MonotonicMilliseconds;
}

/** Switches that only measurements and mutation tests turn. */
export interface RecoveryPolicy {
  /** Retries are bounded by the budgets. */
  readonly limitRetries: boolean;
  /** Streams on notice are handed on before their backend server is gone. */
  readonly migrateOnNotice: boolean;
  /** Streams on notice may be moved with their cache. */
  readonly moveCaches: boolean;
  /** Streams go on from their offset instead of from the start. */
  readonly resumeFromOffset: boolean;
  /** Suspects of a crash are kept apart. */
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
  readonly budgetsByRoute: Map<string, RetryBudget>;
  readonly budgetsByInstance: Map<string, RetryBudget>;
  /** By request id. */
  readonly waiting: Map<string, WaitingRetry>;
}

/** FNV-1a over the name, so that two entries never jitter in step. */
function hashName(name: string): number {
  let hash = 0x811c9dc5;
  for (let position = 0; position < name.length; position += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ name.charCodeAt(position), 0x01000193);
  }
  return hash;
}

export function makeRetryState(seedText: string): RetryState {
  return {
    policy: fullRecoveryPolicy,
    generator: xoroshiro128plus(hashName(seedText)),
    budgetsByRoute: new Map(),
    budgetsByInstance: new Map(),
    waiting: new Map(),
  };
}

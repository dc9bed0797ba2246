/**
 * Adapts how many requests a backend server may have in progress to the first-token delays that
 * this entry sees itself, at once and without waiting for a load report: additive increase while
 * delays are usual, multiplicative decrease when one is far above. An engine that is slower than
 * its class says would otherwise keep a queue of its own, where neither deadlines nor fair shares
 * hold.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from './BackendServerState.js';
import type { PoolState } from './PoolState.js';
import { currentSlowness } from './BalancingState.js';

/** A delay above so many times the usual one shows a crowded or slow server. */
export const TOLERATED_SLOWDOWN_FACTOR = 3;
/** Prompts of other entries that are computed before, and that nothing tells of, take so long. */
const TOLERATED_EXTRA_DELAY_MILLISECONDS: Milliseconds = 200;
const LIMIT_DECREASE_FACTOR = 0.8;
const MIN_FRACTION_OF_CLASS_LIMIT = 0.1;
const SLOWNESS_SAMPLE_WEIGHT = 0.1;
/** One slow moment is not taken for more than this. */
const MAX_SLOWNESS_SAMPLE = 10;

/**
 * Takes in one first-token delay.
 *
 * @param expectedDelay - What the pool's usual delay is for such a prompt.
 * @returns False if the server was far slower than that.
 */
export function adaptConcurrency(
  pool: PoolState,
  server: BackendServerState,
  delay: Milliseconds,
  expectedDelay: Milliseconds,
  now: MonotonicMilliseconds,
): boolean {
  const { balancing } = server;
  const slowness = delay / Math.max(1, expectedDelay);
  const previousSlowness = currentSlowness(balancing, now);
  balancing.slowness =
    previousSlowness +
    (Math.min(slowness, MAX_SLOWNESS_SAMPLE) - previousSlowness) * SLOWNESS_SAMPLE_WEIGHT;
  balancing.slownessUpdatedAt = now;
  if (delay <= TOLERATED_SLOWDOWN_FACTOR * expectedDelay + TOLERATED_EXTRA_DELAY_MILLISECONDS) {
    const raised = balancing.limit + 1 / balancing.limit;
    pool.setLimit(server, Math.min(balancing.maxLimit, raised));
    return true;
  }
  // Delays of requests that were sent before the last decrease say nothing about its effect.
  if (now - balancing.limitLoweredAt < delay) return false;
  const minLimit = Math.max(1, balancing.maxLimit * MIN_FRACTION_OF_CLASS_LIMIT);
  pool.setLimit(server, Math.max(minLimit, balancing.limit * LIMIT_DECREASE_FACTOR));
  balancing.limitLoweredAt = now;
  return false;
}

/** A server that says it is busy is full now, whatever its class allows. */
export function lowerConcurrency(
  pool: PoolState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): void {
  const { balancing, attemptIds } = server;
  const lowered = Math.min(balancing.limit * LIMIT_DECREASE_FACTOR, attemptIds.size);
  pool.setLimit(server, Math.max(1, lowered));
  balancing.limitLoweredAt = now;
}

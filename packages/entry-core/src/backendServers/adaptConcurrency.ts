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
const TOLERATED_DELAY: Milliseconds = 200;
const DECREASE_FACTOR = 0.8;
const LEAST_SHARE_OF_CLASS = 0.1;
const SLOWNESS_SHARE = 0.1;
/** One slow moment is not taken for more than this. */
const MOST_SLOWNESS = 10;

/**
 * Takes in one first-token delay.
 *
 * @param usual - What the pool's usual delay is for such a prompt.
 * @returns False if the server was far slower than that.
 */
export function adaptConcurrency(
  pool: PoolState,
  server: BackendServerState,
  delay: Milliseconds,
  usual: Milliseconds,
  now: MonotonicMilliseconds,
): boolean {
  const { balancing: balance } = server;
  const slowness = delay / Math.max(1, usual);
  const known = currentSlowness(balance, now);
  balance.slowness = known + (Math.min(slowness, MOST_SLOWNESS) - known) * SLOWNESS_SHARE;
  balance.slownessUpdatedAt = now;
  if (delay <= TOLERATED_SLOWDOWN_FACTOR * usual + TOLERATED_DELAY) {
    const raised = balance.limit + 1 / balance.limit;
    pool.changeLimit(server, Math.min(balance.maxLimit, raised));
    return true;
  }
  // Delays of requests that were sent before the last decrease say nothing about its effect.
  if (now - balance.limitLoweredAt < delay) return false;
  const least = Math.max(1, balance.maxLimit * LEAST_SHARE_OF_CLASS);
  pool.changeLimit(server, Math.max(least, balance.limit * DECREASE_FACTOR));
  balance.limitLoweredAt = now;
  return false;
}

/** A server that says it is busy is full now, whatever its class allows. */
export function lowerConcurrency(
  pool: PoolState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): void {
  const { balancing: balance, attemptIds } = server;
  const lowered = Math.min(balance.limit * DECREASE_FACTOR, attemptIds.size);
  pool.changeLimit(server, Math.max(1, lowered));
  balance.limitLoweredAt = now;
}

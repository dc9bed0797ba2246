/**
 * Adapts the concurrency limit of a backend server to the first-token delays that this entry
 * measures, without waiting for a load report: additive increase while delays are as expected,
 * multiplicative decrease when one is far above. Otherwise a server that cannot sustain the
 * concurrency of its class would queue requests internally, where neither deadlines nor fair shares
 * apply.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from './BackendServerState.js';
import type { PoolState } from './PoolState.js';
import { currentSlowness } from './BalancingState.js';

/** A delay above this multiple of the expected one shows an overloaded or slow server. */
export const TOLERATED_SLOWDOWN_FACTOR = 3;
/** Allowance for prompts of other entries that were prefilled first but are not reported yet. */
const TOLERATED_EXTRA_DELAY_MILLISECONDS: Milliseconds = 200;
const LIMIT_DECREASE_FACTOR = 0.8;
const MIN_FRACTION_OF_CLASS_LIMIT = 0.1;
const SLOWNESS_SAMPLE_WEIGHT = 0.1;
/** Limits the effect of a single slow answer. */
const MAX_SLOWNESS_SAMPLE = 10;

export interface ExpectedDelays {
  readonly expectedDelay: Milliseconds;
  readonly usualDelay: Milliseconds;
}

/**
 * Updates the concurrency limit and the slowness of a server from one first-token delay.
 *
 * @param expectedDelay - The delay that is expected of this server for such a prompt.
 * @param usualDelay - The delay that is expected of a server of which nothing has been learnt.
 * @returns False if the delay was far above the expected one.
 */
export function adaptConcurrency(
  pool: PoolState,
  server: BackendServerState,
  delay: Milliseconds,
  { expectedDelay, usualDelay }: ExpectedDelays,
  now: MonotonicMilliseconds,
): boolean {
  const { balancing } = server;
  const slowness = delay / Math.max(1, usualDelay);
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
  // Requests sent before the last decrease do not show its effect.
  if (now - balancing.limitLoweredAt < delay) return false;
  const minLimit = Math.max(1, balancing.maxLimit * MIN_FRACTION_OF_CLASS_LIMIT);
  pool.setLimit(server, Math.max(minLimit, balancing.limit * LIMIT_DECREASE_FACTOR));
  balancing.limitLoweredAt = now;
  return false;
}

/**
 * Lowers the concurrency limit of a server that rejected a request as busy: it is full, whatever
 * its class allows.
 */
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

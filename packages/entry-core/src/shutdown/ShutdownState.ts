/** The progress of a graceful shutdown. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

export interface ShutdownState {
  /** Reported to peers from then on; requests are still accepted until `acceptUntil`. */
  started: boolean;
  /**
   * Once the shutdown has started, requests are accepted until then, because the load balancer may
   * still send them here.
   */
  acceptUntil: MonotonicMilliseconds;
  /** When the remaining requests are ended, shortly before the platform's time limit. */
  endAt: MonotonicMilliseconds;
  /** True once `shutdownReady` has been returned. */
  readyReported: boolean;
}

export function makeShutdownState(): ShutdownState {
  return { started: false, acceptUntil: 0, endAt: Number.POSITIVE_INFINITY, readyReported: false };
}

/** How far a graceful shutdown has come. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

export interface ShutdownState {
  /** True from the first word of the shutdown on. */
  started: boolean;
  /** Until then the balancer may still send callers here, and they are served. */
  acceptUntil: MonotonicMilliseconds;
  /** When the last requests get their final answer, ahead of the platform's limit. */
  endAt: MonotonicMilliseconds;
  readyReported: boolean;
}

export function makeShutdownState(): ShutdownState {
  return { started: false, acceptUntil: 0, endAt: Number.POSITIVE_INFINITY, readyReported: false };
}

/** A token bucket: it fills at a rate that may change, and each request takes one token. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

const MILLISECONDS_PER_SECOND = 1000;

/** Seconds of the rate that may be saved up; at least one token always may. */
const CAPACITY_SECONDS = 0.5;

export class TokenBucket {
  constructor(
    private tokens: number,
    private filledAt: MonotonicMilliseconds,
  ) {}

  /** Adds what has accrued since the last call and returns the number of tokens. */
  fill(tokensPerSecond: number, now: MonotonicMilliseconds): number {
    const elapsedSeconds = Math.max(0, now - this.filledAt) / MILLISECONDS_PER_SECOND;
    const capacity = Math.max(1, tokensPerSecond * CAPACITY_SECONDS);
    this.tokens = Math.min(capacity, this.tokens + tokensPerSecond * elapsedSeconds);
    this.filledAt = now;
    return this.tokens;
  }

  /** May leave less than none, for a request that could not be held back. */
  take(): void {
    this.tokens -= 1;
  }
}

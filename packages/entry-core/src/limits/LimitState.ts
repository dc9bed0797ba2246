/** What an entry knows of the requests in progress that count towards limits. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { AllowanceLimiter } from './AllowanceLimiter.js';
import { ConcurrencyLimiter } from './ConcurrencyLimiter.js';

export interface LimitState {
  readonly concurrencyLimiter: ConcurrencyLimiter;
  readonly allowanceLimiter: AllowanceLimiter;
  /** Key that each counted request is counted under, by request id. */
  readonly keysByRequestId: Map<string, string>;
  /** When all of them were last compared with the requests that are there. */
  sweptAt: MonotonicMilliseconds;
}

export function makeLimitState(): LimitState {
  return {
    concurrencyLimiter: new ConcurrencyLimiter(),
    allowanceLimiter: new AllowanceLimiter(),
    keysByRequestId: new Map(),
    sweptAt: 0,
  };
}

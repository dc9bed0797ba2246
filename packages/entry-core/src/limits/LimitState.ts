/** What an entry keeps to enforce concurrency limits and allowances. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { AllowanceLimiter } from './AllowanceLimiter.js';
import { ConcurrencyLimiter } from './ConcurrencyLimiter.js';

export interface LimitState {
  readonly concurrencyLimiter: ConcurrencyLimiter;
  readonly allowanceLimiter: AllowanceLimiter;
  /** Key under which a request in progress counts towards its limit, by request id. */
  readonly keysByRequestId: Map<string, string>;
  /** When the keys were last checked for requests that have ended. */
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

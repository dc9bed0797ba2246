/** What an entry knows of the requests in progress that count towards limits. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { AllowanceLedger } from './AllowanceLedger.js';
import { LimitLedger } from './LimitLedger.js';

export interface LimitState {
  readonly ledger: LimitLedger;
  readonly allowances: AllowanceLedger;
  /** Key that each counted request is counted under, by request id. */
  readonly keys: Map<string, string>;
  /** When all of them were last compared with the requests that are there. */
  sweptAt: MonotonicMilliseconds;
}

export function makeLimitState(): LimitState {
  return {
    ledger: new LimitLedger(),
    allowances: new AllowanceLedger(),
    keys: new Map(),
    sweptAt: 0,
  };
}

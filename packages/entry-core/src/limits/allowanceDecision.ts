/** The outcome of an allowance check, and the values that it is based on. */
import type { Milliseconds } from '@hornbeampond/schema';

/** What a decision was based on, for the log. */
export interface SpendingFacts {
  /** What is exhausted: the limit of the window, or this entry's quota of unconfirmed spending. */
  readonly bound: 'window' | 'part';
  readonly amount: number;
  /** What the reachable entries may spend in a window now. */
  readonly limit: number;
  /** Known spending of all entries in the window. */
  readonly known: number;
  /** This entry's quota of unconfirmed spending. */
  readonly part: number;
  /** Spending of this entry that the others may not have received. */
  readonly hidden: number;
  /** Number of entries, unreachable ones included. */
  readonly entries: number;
  /** Age of the oldest among the peers' last reports; undefined without peers. */
  readonly oldestReport?: Milliseconds;
}

/** Whether a request may run, and if not, when to retry. */
export type AllowanceDecision =
  | { readonly type: 'allowed' }
  | {
      readonly type: 'exceeded';
      readonly retryAfterMilliseconds: Milliseconds;
      readonly facts: SpendingFacts;
      /** True if the request may run once a store has acknowledged what was spent before. */
      readonly awaitsAcknowledgement: boolean;
    };

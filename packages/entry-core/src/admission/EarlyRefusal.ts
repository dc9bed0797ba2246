/** The refusal of an arriving request, with the time at which its caller should retry. */
import type { ErrorKind, LogFields, Milliseconds } from '@hornbeampond/schema';

export interface EarlyRefusal {
  readonly kind: ErrorKind;
  readonly detail: string;
  readonly retryAfterMilliseconds: Milliseconds;
  /** The values the decision is based on, for the log. */
  readonly facts: LogFields;
  /** True if the request may be accepted once a store has acknowledged earlier spending. */
  readonly awaitsAcknowledgement?: boolean;
  /** True if the request is beyond its share of a contended pool. */
  readonly isBeyondShare?: boolean;
  /** True if the caller was told to retry later than it did. */
  readonly isEarly?: boolean;
}

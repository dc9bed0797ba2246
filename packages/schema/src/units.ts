/**
 * Units used in signatures. The aliases carry no check; they say what a number means.
 */

/** A span of time in milliseconds. */
export type Milliseconds = number;

/** A point in time: milliseconds since 1970-01-01T00:00:00Z by some instance's wall clock. */
export type EpochMilliseconds = number;

/** A reading of one process's monotonic clock in milliseconds; it means nothing elsewhere. */
export type MonotonicMilliseconds = number;

/** An amount of money in euros. */
export type Euros = number;

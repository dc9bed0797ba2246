/**
 * Aliases of `number` that name the unit of a value. The compiler does not check them.
 */

/** A duration. */
export type Milliseconds = number;

/** A time by the wall clock of one instance, in milliseconds since 1970-01-01T00:00:00Z. */
export type EpochMilliseconds = number;

/** A time by the monotonic clock of one process; not comparable with other processes. */
export type MonotonicMilliseconds = number;

export type Euros = number;

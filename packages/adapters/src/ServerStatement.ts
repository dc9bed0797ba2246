/**
 * What a backend server says about itself in the head of an answer. It says it in every answer,
 * also in refusals and in answers to probes, so an adapter reports it apart from the outcome.
 */
import type { Milliseconds } from '@hornbeampond/schema';

/** Load that a backend server reports along with an answer. */
export interface RelayLoad {
  readonly running: number;
  readonly queued: number;
  /** Requests that the server runs at a time. */
  readonly slots?: number;
  /** How long work takes on its machine at the moment; 1 is usual, 2.5 is 2.5 times as long. */
  readonly timeFactor?: number;
}

export interface ServerStatement {
  readonly load?: RelayLoad;
  /**
   * Requests per second that the server takes from all entries together. Infinite if it names no
   * limit; missing if its value cannot be read, which changes nothing.
   */
  readonly requestsPerSecond?: number;
  /**
   * Requests that the server survives to reject in a second for want of room. Infinite if it is not
   * brittle; missing if its value cannot be read, which changes nothing.
   */
  readonly survivedRejections?: number;
  /** For how long the server wants nothing from this entry; missing if it does not ask for rest. */
  readonly restFor?: Milliseconds;
  /** True if the server leaves. */
  readonly isLeaving?: boolean;
  /** The headers that cannot be read, with their values, for the log. */
  readonly unreadable?: string;
}

/**
 * The limits on requests per second that backend servers name. A server in need names one in its
 * answers, for all entries together, and for as long as its answers name it.
 */
import type { EpochMilliseconds } from '@hornbeampond/schema';

/** What a backend server last said about its limit. */
export interface StatedRateLimit {
  /** Infinite if the server named no limit. */
  readonly requestsPerSecond: number;
  /** When an entry read it, by the clock of that entry. */
  readonly statedAt: EpochMilliseconds;
}

export class ServerRateLimits {
  /** By instance; servers that never named a limit are missing. */
  private readonly stated = new Map<string, StatedRateLimit>();

  /** The limit in force; infinite for a server without one. */
  at(instance: string): number {
    return this.stated.get(instance)?.requestsPerSecond ?? Infinity;
  }

  /** Number of servers with a limit. */
  get limitedCount(): number {
    return [...this.stated.values()].filter(({ requestsPerSecond }) => requestsPerSecond < Infinity)
      .length;
  }

  /** Records a newer statement and returns the one that it replaces. */
  record(instance: string, limit: StatedRateLimit): StatedRateLimit | undefined {
    const previous = this.stated.get(instance);
    this.stated.set(instance, limit);
    return previous;
  }
}

/**
 * Where streams began, as entries have told this store, for entries at which callers take them up. It
 * is kept in memory only: the entry that relayed the beginning knows it too, and tells stores that
 * start again.
 */
import type { TimerService } from '@hornbeampond/runtime';
import type { MonotonicMilliseconds, StreamOrigin } from '@hornbeampond/schema';

/** About 20 MB; the oldest are dropped first. */
const MAX_ORIGINS = 100_000;

/** Expired origins are removed once this many have been added. */
const ADDITIONS_PER_SWEEP = 1000;

interface KeptOrigin {
  readonly origin: StreamOrigin;
  readonly expiresAt: MonotonicMilliseconds;
}

export class StreamOriginCache {
  private readonly origins = new Map<string, KeptOrigin>();

  private additions = 0;

  constructor(private readonly timers: TimerService) {}

  get size(): number {
    return this.origins.size;
  }

  add(origins: readonly StreamOrigin[]): void {
    const now = this.timers.monotonicNow();
    origins.forEach((origin) => {
      // Deleted first, so that the oldest ones come first.
      this.origins.delete(origin.requestId);
      this.origins.set(origin.requestId, { origin, expiresAt: now + origin.lifetime });
    });
    this.additions += origins.length;
    if (this.additions >= ADDITIONS_PER_SWEEP) this.sweep(now);
    this.dropOldest();
  }

  /** The origin with the time for which it is still of use. */
  find(requestId: string): StreamOrigin | undefined {
    const kept = this.origins.get(requestId);
    if (kept === undefined) return undefined;
    const lifetime = kept.expiresAt - this.timers.monotonicNow();
    return lifetime > 0 ? { ...kept.origin, lifetime } : undefined;
  }

  private sweep(now: MonotonicMilliseconds): void {
    this.additions = 0;
    this.origins.forEach(({ expiresAt }, requestId) => {
      if (expiresAt <= now) this.origins.delete(requestId);
    });
  }

  private dropOldest(): void {
    for (const requestId of this.origins.keys()) {
      if (this.origins.size <= MAX_ORIGINS) return;
      this.origins.delete(requestId);
    }
  }
}

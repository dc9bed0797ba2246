/**
 * Where streams began that callers may take up again, as far as this entry knows: those that began
 * here, and those that it has asked the stores about.
 */
import type { Milliseconds, MonotonicMilliseconds, StreamOrigin } from '@hornbeampond/schema';

/**
 * For how long it is remembered that no store knows an origin, so that it is asked for only once for a
 * request. Less than `UNKNOWN_ORIGIN_RETRY_AFTER_MILLISECONDS`: who comes back then is asked for anew.
 */
const UNKNOWN_LIFETIME_MILLISECONDS: Milliseconds = 250;

/** A caller may return shortly after its deadline by the clock of this process. */
export const ORIGIN_MARGIN_MILLISECONDS: Milliseconds = 2000;

const SWEEP_INTERVAL_MILLISECONDS: Milliseconds = 1000;

interface UnknownOrigin {
  /** True if enough stores have answered that one of them would know the origin. */
  readonly isConclusive: boolean;
  readonly expiresAt: MonotonicMilliseconds;
}

interface KnownOrigin {
  readonly origin: StreamOrigin;
  readonly expiresAt: MonotonicMilliseconds;
}

export class StreamOrigins {
  /** By the request that brought the first event. */
  private readonly known = new Map<string, KnownOrigin>();

  /** Requests whose origin no store has named; they are not asked for again for a while. */
  private readonly unknown = new Map<string, UnknownOrigin>();

  private sweepDueAt: MonotonicMilliseconds = 0;

  record(origin: StreamOrigin, now: MonotonicMilliseconds): void {
    const expiresAt = now + origin.lifetime;
    this.known.set(origin.requestId, { origin, expiresAt });
    this.unknown.delete(origin.requestId);
  }

  recordUnknown(requestId: string, isConclusive: boolean, now: MonotonicMilliseconds): void {
    const expiresAt = now + UNKNOWN_LIFETIME_MILLISECONDS;
    this.unknown.set(requestId, { isConclusive, expiresAt });
  }

  /** The origin of a stream of this workspace; another workspace may not refer to it. */
  find(requestId: string, workspace: string, now: MonotonicMilliseconds): StreamOrigin | undefined {
    const found = this.known.get(requestId);
    if (found === undefined || found.expiresAt <= now) return undefined;
    return found.origin.workspace === workspace ? found.origin : undefined;
  }

  /** Undefined if the stores have not been asked lately. */
  findUnknown(requestId: string, now: MonotonicMilliseconds): UnknownOrigin | undefined {
    const found = this.unknown.get(requestId);
    return found === undefined || found.expiresAt <= now ? undefined : found;
  }

  /** The origins with the time for which each is still of use. */
  list(now: MonotonicMilliseconds): StreamOrigin[] {
    return [...this.known.values()]
      .filter(({ expiresAt }) => expiresAt > now)
      .map(({ origin, expiresAt }) => ({ ...origin, lifetime: expiresAt - now }));
  }

  /** Tick handler: forgets what is of no use any more. */
  expire(now: MonotonicMilliseconds): void {
    if (now < this.sweepDueAt) return;
    this.sweepDueAt = now + SWEEP_INTERVAL_MILLISECONDS;
    this.known.forEach(({ expiresAt }, requestId) => {
      if (expiresAt <= now) this.known.delete(requestId);
    });
    this.unknown.forEach(({ expiresAt }, requestId) => {
      if (expiresAt <= now) this.unknown.delete(requestId);
    });
  }
}

/**
 * Backend servers that have turned a request of this entry away and asked it to send nothing for
 * some time. Such a wish concerns this entry alone, so the others are not told.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

export class ServerRests {
  /** When the rest of each backend server ends, by instance. */
  private readonly endsAt = new Map<string, MonotonicMilliseconds>();

  /** How much longer the server wants nothing; 0 if it has not asked for rest. */
  remaining(instance: string, now: MonotonicMilliseconds): Milliseconds {
    return Math.max(0, (this.endsAt.get(instance) ?? now) - now);
  }

  record(instance: string, until: MonotonicMilliseconds): void {
    this.endsAt.set(instance, until);
  }
}

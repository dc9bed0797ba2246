/**
 * Backend servers that have said in an answer that they leave. Each gets no new work from then on,
 * whatever the list of instances says: the list lags, and nobody may be able to read it.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** The list of instances may omit a running server for a moment. */
const RETENTION_MILLISECONDS: Milliseconds = 60_000;

export class ServerDepartures {
  /** When each server was last listed, or when its departure was learnt, by instance. */
  private readonly lastListedAt = new Map<string, MonotonicMilliseconds>();

  has(instance: string): boolean {
    return this.lastListedAt.has(instance);
  }

  /** For the reports to the other entries. */
  get instances(): string[] {
    return [...this.lastListedAt.keys()];
  }

  record(instance: string, now: MonotonicMilliseconds): void {
    this.lastListedAt.set(instance, now);
  }

  /** Forgets the servers that have not been listed for a while. */
  retainOnly(isListed: (instance: string) => boolean, now: MonotonicMilliseconds): void {
    this.lastListedAt.forEach((listedAt, instance) => {
      if (isListed(instance)) this.lastListedAt.set(instance, now);
      else if (now - listedAt >= RETENTION_MILLISECONDS) this.lastListedAt.delete(instance);
    });
  }
}

/**
 * Remembers the requests that were refused by share until their callers are to retry. One that comes
 * back then goes first. One that comes earlier is told the same time again, so that it gains nothing
 * by it and takes the place of nobody.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

/** About a minute of refusals at the rate of one entry; beyond it, the oldest are forgotten. */
const MAX_REMEMBERED = 2000;

/** Callers count their wait from the time at which the answer reaches them. */
const EARLY_TOLERANCE_MILLISECONDS = 25;

/** How long after its time a caller still goes first. */
const EXPIRY_MILLISECONDS = 2000;

export type Return = 'first' | 'early' | 'due';

export class RefusedCallers {
  private readonly retryTimes = new Map<string, MonotonicMilliseconds>();

  retryAt(caller: string): MonotonicMilliseconds | undefined {
    return this.retryTimes.get(caller);
  }

  /** Whether the request comes for the first time, before its time or when it was told to. */
  classify(caller: string, now: MonotonicMilliseconds): Return {
    const retryAt = this.retryTimes.get(caller);
    if (retryAt === undefined || now > retryAt + EXPIRY_MILLISECONDS) return 'first';
    return now >= retryAt - EARLY_TOLERANCE_MILLISECONDS ? 'due' : 'early';
  }

  remember(caller: string, retryAt: MonotonicMilliseconds): void {
    this.retryTimes.delete(caller);
    this.retryTimes.set(caller, retryAt);
    if (this.retryTimes.size <= MAX_REMEMBERED) return;
    const [oldest] = this.retryTimes.keys();
    if (oldest !== undefined) this.retryTimes.delete(oldest);
  }

  forget(caller: string): void {
    this.retryTimes.delete(caller);
  }

  expire(now: MonotonicMilliseconds): void {
    this.retryTimes.forEach((retryAt, caller) => {
      if (now > retryAt + EXPIRY_MILLISECONDS) this.retryTimes.delete(caller);
    });
  }
}

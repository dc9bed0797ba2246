/**
 * Abstract clocks and timers. Code uses them instead of those of Node, so that tests can replace
 * them by virtual time.
 */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** Cancels a timer; further calls have no effect. */
export type Unsubscribe = () => void;

export abstract class TimerService {
  /** Time for measuring durations; never decreases. */
  abstract monotonicNow(): MonotonicMilliseconds;

  /** Wall clock time, for times of day and for timestamps that other processes read. */
  abstract wallNow(): EpochMilliseconds;

  /** Calls `listener` once, `delay` milliseconds from now. */
  abstract after(delay: Milliseconds, listener: () => void): Unsubscribe;

  /** Calls `listener` every `interval` milliseconds until unsubscribed. */
  every(interval: Milliseconds, listener: () => void): Unsubscribe {
    let isStopped = false;
    let cancel: Unsubscribe = () => {};
    const schedule = () => {
      cancel = this.after(interval, () => {
        if (isStopped) return;
        schedule();
        listener();
      });
    };
    schedule();
    return () => {
      isStopped = true;
      cancel();
    };
  }

  /** Resolves after `delay` milliseconds. */
  async wait(delay: Milliseconds): Promise<void> {
    await new Promise<void>((resolve) => {
      this.after(delay, resolve);
    });
  }
}

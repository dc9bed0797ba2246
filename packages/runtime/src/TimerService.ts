/**
 * The one source of time in a process. Parts subscribe to it; reducers get its readings as
 * events. Tests put a virtual one in its place.
 */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** Ends a subscription; calling it twice does no harm. */
export type Unsubscribe = () => void;

export abstract class TimerService {
  /** A reading that never goes back, for spans. */
  abstract monotonicNow(): MonotonicMilliseconds;

  /** The wall clock, for hours of the day and for stamps that other processes read. */
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

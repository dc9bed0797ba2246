/**
 * Repeated timers that all connections of a process share. A process has a connection to each store, or a
 * store one to each entry; with a timer for each, every heartbeat would wake the process by itself.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds } from '@hornbeampond/schema';

class SharedInterval {
  private readonly listeners = new Set<() => void>();

  private stop: Unsubscribe | undefined;

  constructor(
    private readonly timers: TimerService,
    private readonly interval: Milliseconds,
  ) {}

  add(listener: () => void): Unsubscribe {
    this.listeners.add(listener);
    this.stop ??= this.timers.every(this.interval, () => this.callListeners());
    return () => {
      this.listeners.delete(listener);
      if (this.listeners.size > 0) return;
      this.stop?.();
      this.stop = undefined;
    };
  }

  private callListeners(): void {
    // A listener may remove itself or others, or add one that is not due yet.
    [...this.listeners].forEach((listener) => {
      if (this.listeners.has(listener)) listener();
    });
  }
}

const intervalsByService = new WeakMap<TimerService, Map<Milliseconds, SharedInterval>>();

/**
 * Calls `listener` at each end of an interval that all callers with the same service and interval share.
 * The first call comes after at most one interval.
 */
export function everyShared(
  timers: TimerService,
  interval: Milliseconds,
  listener: () => void,
): Unsubscribe {
  const intervals = intervalsByService.get(timers) ?? new Map<Milliseconds, SharedInterval>();
  intervalsByService.set(timers, intervals);
  const shared = intervals.get(interval) ?? new SharedInterval(timers, interval);
  intervals.set(interval, shared);
  return shared.add(listener);
}

/** The real clocks and timers of Node. */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { TimerService, type Unsubscribe } from './TimerService.js';

export class SystemTimerService extends TimerService {
  override monotonicNow(): MonotonicMilliseconds {
    return performance.now();
  }

  override wallNow(): EpochMilliseconds {
    return Date.now();
  }

  override after(delay: Milliseconds, listener: () => void): Unsubscribe {
    const timer = setTimeout(listener, delay);
    return () => clearTimeout(timer);
  }

  /** Reuses one timer: to make one for each interval takes more processor time than short listeners. */
  override every(interval: Milliseconds, listener: () => void): Unsubscribe {
    let isStopped = false;
    const timer = setTimeout(() => {
      if (isStopped) return;
      timer.refresh();
      listener();
    }, interval);
    return () => {
      isStopped = true;
      clearTimeout(timer);
    };
  }
}

/** Timers for tests: each one fires without delay and advances the clock by its delay. */
import { TimerService, type Unsubscribe } from '@hornbeampond/runtime';

export class AutoAdvancingTimerService extends TimerService {
  private elapsed = 0;

  override monotonicNow(): number {
    return this.elapsed;
  }

  override wallNow(): number {
    return Date.UTC(2026, 0, 15, 11) + this.elapsed;
  }

  override after(delay: number, listener: () => void): Unsubscribe {
    const timer = setImmediate(() => {
      this.elapsed += delay;
      listener();
    });
    return () => clearImmediate(timer);
  }
}

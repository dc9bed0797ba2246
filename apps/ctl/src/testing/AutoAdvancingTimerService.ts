/** Time that jumps to whatever is waited for, so that waits end at once and always the same. */
import { TimerService, type Unsubscribe } from '@hornbeampond/runtime';

export class AutoAdvancingTimerService extends TimerService {
  private now = 0;

  override monotonicNow(): number {
    return this.now;
  }

  override wallNow(): number {
    return Date.UTC(2026, 0, 15, 11) + this.now;
  }

  override after(delay: number, listener: () => void): Unsubscribe {
    const timer = setImmediate(() => {
      this.now += delay;
      listener();
    });
    return () => clearImmediate(timer);
  }
}

/**
 * A timeout that is restarted often, such as with each event of a stream. Restarting only moves the
 * due time; the timer of the timer service is replaced when it fires, or if it would fire too late.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

export class RestartableTimeout {
  /** How often the timeout was started or stopped. */
  changeCount = 0;

  private dueAt: MonotonicMilliseconds = Infinity;

  private timerFiresAt: MonotonicMilliseconds = Infinity;

  private cancelTimer: Unsubscribe = () => {};

  constructor(
    private readonly timers: TimerService,
    private readonly onTimeout: () => void,
  ) {}

  get isRunning(): boolean {
    return this.dueAt !== Infinity;
  }

  /** Starts the timeout, or starts it again. */
  start(timeout: Milliseconds): void {
    this.changeCount += 1;
    this.dueAt = this.timers.monotonicNow() + timeout;
    if (this.timerFiresAt > this.dueAt) this.setTimer();
  }

  /** Stops the timeout until it is started again. */
  stop(): void {
    this.changeCount += 1;
    this.dueAt = Infinity;
  }

  /** Stops the timeout for good. */
  close(): void {
    this.stop();
    this.cancelTimer();
    this.timerFiresAt = Infinity;
  }

  private setTimer(): void {
    this.cancelTimer();
    this.timerFiresAt = this.dueAt;
    const delay = Math.max(0, this.dueAt - this.timers.monotonicNow());
    this.cancelTimer = this.timers.after(delay, () => this.handleTimer());
  }

  private handleTimer(): void {
    const firedFor = this.timerFiresAt;
    this.timerFiresAt = Infinity;
    if (!this.isRunning) return;
    if (this.dueAt > firedFor) {
      this.setTimer();
      return;
    }
    this.dueAt = Infinity;
    this.onTimeout();
  }
}

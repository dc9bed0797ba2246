/**
 * Schedules reads of the platform's list for requests that need one which shows what is listed when they
 * ask. One read serves all requests that came before it was due. After a loss of all entries and stores
 * many entries need one at a time, so that the reads of each are bounded.
 */
import type { TimerService } from '@hornbeampond/runtime';
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** Of all entries together, after a pause; a platform takes some forty calls a second. */
const MAX_READS_AT_ONCE = 16;

/** Timers may fire a little early. */
const TIMER_MARGIN_MILLISECONDS: Milliseconds = 5;

export interface RequestedListReadsOptions {
  readonly timers: TimerService;
  /** How much older the list may be than the moment in which the platform is asked for it. */
  readonly listLagMilliseconds: Milliseconds;
  /** Mean time between reads of this entry in the long run. */
  readSpacing(): Milliseconds;
  /** The number of entries that may read the list. */
  countEntries(): number;
  read(): void;
  /** Called in place of `read` if this entry has read the list too often of late. */
  refuse(): void;
}

export class RequestedListReads {
  /** True while a read is scheduled and has not begun. */
  private isScheduled = false;

  /** When the platform may be asked for a list that serves the last request. */
  private dueAt: MonotonicMilliseconds = -Infinity;

  /** Reads so far, less those that are long enough ago. */
  private recentReads = 0;

  private countedAt: MonotonicMilliseconds = -Infinity;

  constructor(private readonly options: RequestedListReadsOptions) {}

  request(): void {
    const { timers, listLagMilliseconds } = this.options;
    this.dueAt = timers.monotonicNow() + listLagMilliseconds + TIMER_MARGIN_MILLISECONDS;
    if (!this.isScheduled) this.schedule();
  }

  private schedule(): void {
    const { timers, read, refuse } = this.options;
    const { dueAt } = this;
    this.isScheduled = true;
    timers.after(dueAt - timers.monotonicNow(), () => {
      this.isScheduled = false;
      if (this.takeAllowance()) read();
      else refuse();
      // For requests that came too late for this read.
      if (this.dueAt > dueAt) this.schedule();
    });
  }

  private takeAllowance(): boolean {
    const { timers, readSpacing, countEntries } = this.options;
    const now = timers.monotonicNow();
    const most = Math.max(1, Math.floor(MAX_READS_AT_ONCE / countEntries()));
    const regained = (now - this.countedAt) / readSpacing();
    this.recentReads = Math.max(0, this.recentReads - regained);
    this.countedAt = now;
    if (this.recentReads > most - 1) return false;
    this.recentReads += 1;
    return true;
  }
}

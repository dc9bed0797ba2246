/**
 * Counts the requests of each workspace that have started to run, by window of the wall clock. One
 * process adds up the counts of all entries and reports them.
 */
import type { UsageCountsByWindow, EpochMilliseconds, Milliseconds } from '@hornbeampond/schema';

/** Enough for a process that has just taken over the reporting. */
const RETAINED_WINDOW_COUNT = 6;

export class UsageMeter {
  private readonly windows = new Map<number, Record<string, number>>();

  private readonly changed = new Set<number>();

  /** @param windowMilliseconds - Length of a window; 0 disables counting. */
  constructor(private readonly windowMilliseconds: Milliseconds) {}

  record(workspace: string, wallNow: EpochMilliseconds): void {
    if (this.windowMilliseconds <= 0 || workspace === '') return;
    const windowNumber = Math.floor(wallNow / this.windowMilliseconds);
    const counts = this.windows.get(windowNumber) ?? {};
    counts[workspace] = (counts[workspace] ?? 0) + 1;
    this.changed.add(windowNumber);
    this.windows.set(windowNumber, counts);
    this.windows.forEach((_, retained) => {
      if (retained <= windowNumber - RETAINED_WINDOW_COUNT) this.windows.delete(retained);
    });
  }

  /** Counts of the windows that have changed since the last call. */
  takeChanged(): UsageCountsByWindow | undefined {
    if (this.changed.size === 0) return undefined;
    const numbers = [...this.changed];
    this.changed.clear();
    return Object.fromEntries(numbers.map((number) => [number, { ...this.windows.get(number) }]));
  }

  read(): UsageCountsByWindow {
    return Object.fromEntries([...this.windows].map(([number, counts]) => [number, { ...counts }]));
  }
}

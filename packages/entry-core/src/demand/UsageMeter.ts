/**
 * Counts the requests of each workspace that began to run, by window of the wall clock, so that
 * one process can add up what all entries ran and report it.
 */
import type { BegunCounts, EpochMilliseconds, Milliseconds } from '@hornbeampond/schema';

/** Windows that are kept: late enough for a holder of the duty that has just taken over. */
const RETAINED_WINDOW_COUNT = 6;

export class UsageMeter {
  private readonly windows = new Map<number, Record<string, number>>();

  private readonly changed = new Set<number>();

  /** @param windowMilliseconds - Length of a window; 0 counts nothing. */
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

  /** Counts of the windows that have changed since this was asked last. */
  takeChanged(): BegunCounts | undefined {
    if (this.changed.size === 0) return undefined;
    const numbers = [...this.changed];
    this.changed.clear();
    return Object.fromEntries(numbers.map((number) => [number, { ...this.windows.get(number) }]));
  }

  read(): BegunCounts {
    return Object.fromEntries([...this.windows].map(([number, counts]) => [number, { ...counts }]));
  }
}

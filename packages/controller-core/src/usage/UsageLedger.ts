/**
 * Sums the requests that all entries have begun, by window of the wall clock. An entry sends its
 * complete counts each time, so the highest count of each run of an entry is kept. Counts from
 * before an entry's restart remain in the sum.
 */
import type { EntryReport, EntryUsage, UsageCounts } from '@hornbeampond/schema';

/** Number of windows kept, the newest included: more than are settled and reported. */
const RETAINED_WINDOWS = 12;

/**
 * Merges counts of one run. Counts never decrease, so of two that arrive in either order the higher
 * one is newer.
 */
function mergeHighest(previous: UsageCounts, received: UsageCounts): UsageCounts {
  const merged: Record<string, number> = { ...previous };
  Object.entries(received).forEach(([workspace, count]) => {
    merged[workspace] = Math.max(count, merged[workspace] ?? 0);
  });
  return merged;
}

export class UsageLedger {
  /** Counts by window number, then by run of an entry. */
  private readonly countsByWindow = new Map<number, Map<string, UsageCounts>>();

  /** Merges the counts of an entry, in any order of arrival, and removes old windows. */
  receive({ instance, incarnation, begun = {} }: EntryUsage | EntryReport): void {
    const entryRun = `${instance}/${incarnation}`;
    Object.entries(begun).forEach(([number, counts]) => {
      const window = Number(number);
      const countsByRun = this.countsByWindow.get(window) ?? new Map<string, UsageCounts>();
      countsByRun.set(entryRun, mergeHighest(countsByRun.get(entryRun) ?? {}, counts));
      this.countsByWindow.set(window, countsByRun);
    });
    this.removeOldWindows();
  }

  /** Returns the requests begun in a window, by workspace in the order of their names. */
  total(window: number): UsageCounts {
    const sums = new Map<string, number>();
    this.countsByWindow.get(window)?.forEach((counts) => {
      Object.entries(counts).forEach(([workspace, count]) => {
        sums.set(workspace, (sums.get(workspace) ?? 0) + count);
      });
    });
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  private removeOldWindows(): void {
    const newest = Math.max(...this.countsByWindow.keys());
    [...this.countsByWindow.keys()]
      .filter((window) => window <= newest - RETAINED_WINDOWS)
      .forEach((window) => this.countsByWindow.delete(window));
  }
}

/**
 * Adds up, by window of the wall clock, what all entries began to run. An entry repeats its whole
 * counts in each report, so the newest report of each start of an entry replaces its earlier ones;
 * counts of an entry that has restarted since stay.
 */
import type { EntryReport, EntryUsage, UsageCounts } from '@hornbeampond/schema';

/** Windows that are kept; older ones have been settled or are too late to be of use. */
const RETAINED_WINDOWS = 12;

/** Words that came by two ways may overtake each other. */
function mergeHighest(previous: UsageCounts, received: UsageCounts): UsageCounts {
  const merged: Record<string, number> = { ...previous };
  Object.entries(received).forEach(([workspace, count]) => {
    merged[workspace] = Math.max(count, merged[workspace] ?? 0);
  });
  return merged;
}

export class UsageLedger {
  /** Counts by window, then by start of an entry. */
  private readonly windows = new Map<number, Map<string, UsageCounts>>();

  /** Takes in counts, of which a later word never tells less. */
  receive({ instance, incarnation, begun = {} }: EntryUsage | EntryReport): void {
    const entryRun = `${instance}/${incarnation}`;
    Object.entries(begun).forEach(([number, counts]) => {
      const window = Number(number);
      const countsByRun = this.windows.get(window) ?? new Map<string, UsageCounts>();
      countsByRun.set(entryRun, mergeHighest(countsByRun.get(entryRun) ?? {}, counts));
      this.windows.set(window, countsByRun);
    });
    this.removeOldWindows();
  }

  /** What all entries are known to have begun in a window, by workspace in order of name. */
  total(window: number): UsageCounts {
    const sums = new Map<string, number>();
    this.windows.get(window)?.forEach((counts) => {
      Object.entries(counts).forEach(([workspace, count]) => {
        sums.set(workspace, (sums.get(workspace) ?? 0) + count);
      });
    });
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  private removeOldWindows(): void {
    const newest = Math.max(...this.windows.keys());
    [...this.windows.keys()]
      .filter((window) => window <= newest - RETAINED_WINDOWS)
      .forEach((window) => this.windows.delete(window));
  }
}

/**
 * Adds up, by window of the wall clock, what all entries began to run. An entry repeats its whole
 * counts in each report, so the newest report of each start of an entry replaces its earlier ones;
 * counts of an entry that has restarted since stay.
 */
import type { EntryReport, EntryUsage, UsageCounts } from '@hornbeampond/schema';

/** Windows that are kept; older ones have been settled or are too late to be of use. */
const KEPT_WINDOWS = 12;

/** Words that came by two ways may overtake each other. */
function largerOf(known: UsageCounts, told: UsageCounts): UsageCounts {
  const larger: Record<string, number> = { ...known };
  Object.entries(told).forEach(([workspace, count]) => {
    larger[workspace] = Math.max(count, larger[workspace] ?? 0);
  });
  return larger;
}

export class UsageLedger {
  /** Counts by window, then by start of an entry. */
  private readonly windows = new Map<number, Map<string, UsageCounts>>();

  /** Takes in counts, of which a later word never tells less. */
  receive({ instance, incarnation, begun = {} }: EntryUsage | EntryReport): void {
    const start = `${instance}/${incarnation}`;
    Object.entries(begun).forEach(([number, counts]) => {
      const window = Number(number);
      const starts = this.windows.get(window) ?? new Map<string, UsageCounts>();
      starts.set(start, largerOf(starts.get(start) ?? {}, counts));
      this.windows.set(window, starts);
    });
    this.forgetOld();
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

  private forgetOld(): void {
    const newest = Math.max(...this.windows.keys());
    [...this.windows.keys()]
      .filter((window) => window <= newest - KEPT_WINDOWS)
      .forEach((window) => this.windows.delete(window));
  }
}

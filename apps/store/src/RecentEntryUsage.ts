/** Counts of started requests that each incarnation of an entry reported, in the newest windows. */
import type { UsageCountsByWindow, EntryUsage } from '@hornbeampond/schema';

/** Usage windows that are kept. Older windows have been reported by then. */
const RETAINED_WINDOWS = 4;

export class RecentEntryUsage {
  /** By instance and incarnation. */
  private readonly usageByIncarnation = new Map<string, EntryUsage>();

  private newestWindow = 0;

  get reports(): EntryUsage[] {
    return [...this.usageByIncarnation.values()];
  }

  record({ instance, incarnation, begun }: EntryUsage): void {
    const key = `${instance}/${incarnation}`;
    const merged = { ...this.usageByIncarnation.get(key)?.begun, ...begun };
    const recent = this.withoutOldWindows(merged);
    if (Object.keys(recent).length === 0) this.usageByIncarnation.delete(key);
    else this.usageByIncarnation.set(key, { instance, incarnation, begun: recent });
    const newest = Math.max(this.newestWindow, ...Object.keys(begun).map(Number));
    if (newest === this.newestWindow) return;
    this.newestWindow = newest;
    this.removeOldWindows();
  }

  private removeOldWindows(): void {
    this.usageByIncarnation.forEach((usage, name) => {
      const recent = this.withoutOldWindows(usage.begun);
      if (Object.keys(recent).length === 0) this.usageByIncarnation.delete(name);
      else this.usageByIncarnation.set(name, { ...usage, begun: recent });
    });
  }

  private withoutOldWindows(begun: UsageCountsByWindow): UsageCountsByWindow {
    const isRecent = ([number]: readonly [string, unknown]) =>
      Number(number) > this.newestWindow - RETAINED_WINDOWS;
    return Object.fromEntries(Object.entries(begun).filter(isRecent));
  }
}

/** What each life of an entry has told of the requests that began to run, in the newest windows. */
import type { UsageCountsByWindow, EntryUsage } from '@hornbeampond/schema';

/** Older windows have been reported. */
const KEPT_WINDOWS = 4;

export class RecentEntryUsage {
  /** By instance and incarnation. */
  private readonly lives = new Map<string, EntryUsage>();

  private newest = 0;

  get reports(): EntryUsage[] {
    return [...this.lives.values()];
  }

  record({ instance, incarnation, begun }: EntryUsage): void {
    this.newest = Math.max(this.newest, ...Object.keys(begun).map(Number));
    const life = `${instance}/${incarnation}`;
    const merged = { ...this.lives.get(life)?.begun, ...begun };
    this.lives.set(life, { instance, incarnation, begun: this.withoutOld(merged) });
    this.lives.forEach((known, name) => {
      const kept = this.withoutOld(known.begun);
      if (Object.keys(kept).length === 0) this.lives.delete(name);
      else this.lives.set(name, { ...known, begun: kept });
    });
  }

  private withoutOld(begun: UsageCountsByWindow): UsageCountsByWindow {
    const isKept = ([number]: readonly [string, unknown]) =>
      Number(number) > this.newest - KEPT_WINDOWS;
    return Object.fromEntries(Object.entries(begun).filter(isKept));
  }
}

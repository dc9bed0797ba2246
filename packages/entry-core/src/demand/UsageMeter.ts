/**
 * Counts the requests of each workspace that began to run, by window of the wall clock, so that
 * one process can add up what all entries ran and report it.
 */
import type { EpochMilliseconds, Milliseconds } from '@hornbeampond/schema';

/** Windows that are kept: late enough for a holder of the duty that has just taken over. */
const KEPT_WINDOWS = 6;

export type BegunByWindow = Readonly<Record<string, Readonly<Record<string, number>>>>;

export class UsageMeter {
  private readonly windows = new Map<number, Record<string, number>>();

  /** @param length - Length of a window; 0 counts nothing. */
  constructor(private readonly length: Milliseconds) {}

  note(workspace: string, wallNow: EpochMilliseconds): void {
    if (this.length <= 0 || workspace === '') return;
    const number = Math.floor(wallNow / this.length);
    const counts = this.windows.get(number) ?? {};
    counts[workspace] = (counts[workspace] ?? 0) + 1;
    this.windows.set(number, counts);
    this.windows.forEach((_, known) => {
      if (known <= number - KEPT_WINDOWS) this.windows.delete(known);
    });
  }

  read(): BegunByWindow {
    return Object.fromEntries([...this.windows].map(([number, counts]) => [number, { ...counts }]));
  }
}

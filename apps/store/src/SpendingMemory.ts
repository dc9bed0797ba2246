/**
 * Keeps what workspaces have spent of their allowances lately, as entries report it, on the store's
 * disk. Entries hold it in memory only. When all of them lose power in a flood, each would find a
 * window of which nothing is known: either it is spent a second time, or callers within their allowance
 * are refused for as long as the window is.
 *
 * It is a memory and no promise: it is written a few times a second and not agreed on, and a store that
 * cannot write it goes on without. Entries count what is missing as they count late reports.
 */
import type { Logger, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type {
  EntryReport,
  EntrySpending,
  Milliseconds,
  RememberedSpending,
} from '@hornbeampond/schema';
import type { StoreDisk } from './StoreDisk.js';

/** How much a loss of power may take at most, beside what entries have not reported. */
const WRITE_MILLISECONDS: Milliseconds = 250;

/** An entry that knows less of the window is passed over until the one kept is so old. */
const REPLACED_AFTER_MILLISECONDS: Milliseconds = 2000;

export interface SpendingMemoryOptions {
  readonly disk: StoreDisk;
  readonly timers: TimerService;
  readonly logger: Logger;
}

export class SpendingMemory {
  /** What the entry that knew most of the window told last. */
  remembered: RememberedSpending | undefined;

  /** What each entry has told, by name. */
  private readonly entries = new Map<string, EntrySpending>();

  private written: RememberedSpending | undefined;

  private isWriting = false;

  private stop: Unsubscribe = () => {};

  constructor(private readonly options: SpendingMemoryOptions) {}

  async open(): Promise<void> {
    const { disk, timers, logger } = this.options;
    try {
      this.remembered = await disk.readSpending();
    } catch (error) {
      logger.write('spendingUnreadable', { reason: String(error) });
    }
    this.written = this.remembered;
    this.stop = timers.every(WRITE_MILLISECONDS, () => {
      void this.write();
    });
  }

  note(report: EntryReport): void {
    const { windowSpent, windowReach = 0, spent = {} } = report;
    if (windowSpent === undefined) return;
    this.noteSpending({ ...report, spent });
    const at = this.options.timers.wallNow();
    const { remembered } = this;
    const isOld = remembered === undefined || at - remembered.at >= REPLACED_AFTER_MILLISECONDS;
    if (!isOld && windowReach < remembered.windowReach) return;
    const entries = Object.fromEntries(this.entries);
    this.remembered = { at, windowSpent, windowReach, entries };
  }

  /** Takes in what an entry tells between two reports. */
  noteSpending({ instance, incarnation, spent }: EntrySpending & { instance: string }): void {
    const known = this.entries.get(instance);
    const before = known?.incarnation === incarnation ? known.spent : {};
    this.entries.set(instance, { incarnation, spent: { ...before, ...spent } });
  }

  close(): void {
    this.stop();
  }

  private async write(): Promise<void> {
    const { remembered, written, isWriting } = this;
    if (remembered === undefined || remembered === written || isWriting) return;
    this.isWriting = true;
    try {
      await this.options.disk.saveSpending(remembered);
      this.written = remembered;
    } catch (error) {
      this.options.logger.write('spendingNotKept', { reason: String(error) });
    } finally {
      this.isWriting = false;
    }
  }
}

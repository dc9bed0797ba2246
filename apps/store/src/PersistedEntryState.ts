/**
 * Saves to the store's disk what entries hold in memory only and need after all of them have lost
 * power: spent allowances, computed prompt prefixes, estimated delays, counts of started requests and the
 * software versions that backend servers have had. Without this state allowances would be spent twice,
 * prompts computed again and usage undercounted, and streams whose origin is lost could not go on.
 *
 * Saving is best effort: the state is written a few times a second and not replicated, and a store
 * that cannot read or write the state continues without it.
 */
import type { Logger, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import {
  ageHistory,
  groupVersions,
  VersionHistory,
  type EntryReport,
  type EntrySpending,
  type Milliseconds,
  type MonotonicMilliseconds,
  type PersistedEntryData,
  type PersistedVersions,
  type SharedInstance,
  type VersionHistoryMessage,
  type WorkReport,
} from '@hornbeampond/schema';
import { RecentPrefixes } from './RecentPrefixes.js';
import type { StoreDisk } from './StoreDisk.js';
import { RecentEntryUsage } from './RecentEntryUsage.js';

/** What entries reported within this time before a power loss may be lost. */
const WRITE_INTERVAL_MILLISECONDS: Milliseconds = 250;

/** Prefixes of all backend servers together that a starting entry gets; about 60 kB. */
const MAX_PREFIXES_FOR_ENTRIES = 6000;

/** Age that stored totals must have before totals with a shorter reach replace them. */
const SPENDING_REPLACEMENT_AGE_MILLISECONDS: Milliseconds = 2000;

export interface PersistedEntryStateOptions {
  readonly disk: StoreDisk;
  readonly timers: TimerService;
  readonly logger: Logger;
}

export class PersistedEntryState {
  private spending: PersistedEntryData['spending'];

  private delays: PersistedEntryData['delays'] = {};

  private readonly prefixes = new RecentPrefixes();

  private readonly usage = new RecentEntryUsage();

  private readonly versions = new VersionHistory();

  /** The latest reported spending of each entry, by instance. */
  private readonly spendingByEntry = new Map<string, EntrySpending>();

  /** When an entry first reported spending to this process. */
  private heardSince: MonotonicMilliseconds | undefined;

  private hasChanged = false;

  private isWriting = false;

  private lastWrite: Promise<void> = Promise.resolve();

  private cancelTimer: Unsubscribe = () => {};

  constructor(private readonly options: PersistedEntryStateOptions) {}

  get contents(): PersistedEntryData {
    const { spending, delays, recordedVersions } = this;
    return {
      ...(spending === undefined ? {} : { spending }),
      ...(recordedVersions === undefined ? {} : { versions: recordedVersions }),
      usage: this.usage.reports,
      delays,
      computed: this.prefixes.computed,
    };
  }

  /** The versions that backend servers have had; undefined before the first list. */
  get versionHistory(): VersionHistoryMessage | undefined {
    const { timers } = this.options;
    return this.versions.toMessage(timers.monotonicNow(), timers.wallNow());
  }

  private get recordedVersions(): PersistedVersions | undefined {
    const { timers } = this.options;
    const history = this.versionHistory;
    return history === undefined ? undefined : { at: timers.wallNow(), history };
  }

  /**
   * What a starting entry uses of `contents`, limited in size: after a power loss hundreds of entries
   * request it at the same time, and their links are slow.
   */
  get contentsForEntries(): PersistedEntryData {
    const computed = this.prefixes.mostRecent(MAX_PREFIXES_FOR_ENTRIES);
    const { spending, heardSince } = this;
    if (spending === undefined || heardSince === undefined) {
      return { ...this.contents, usage: [], computed };
    }
    const heardFor = this.options.timers.monotonicNow() - heardSince;
    return { ...this.contents, spending: { ...spending, heardFor }, usage: [], computed };
  }

  async open(): Promise<void> {
    const { disk, timers, logger } = this.options;
    try {
      const saved = await disk.readPersistedEntryState();
      this.spending = saved?.spending;
      this.delays = saved?.delays ?? {};
      this.prefixes.record(saved?.computed ?? {});
      saved?.usage.forEach((usage) => this.usage.record(usage));
      this.adoptVersions(saved?.versions);
    } catch (error) {
      logger.write('memoryUnreadable', { reason: String(error) });
    }
    this.cancelTimer = timers.every(WRITE_INTERVAL_MILLISECONDS, () => {
      if (this.hasChanged && !this.isWriting) this.lastWrite = this.write();
    });
  }

  recordReport(report: EntryReport): void {
    const { windowSpent, windowReach = 0, spent, delays, begun = {} } = report;
    this.hasChanged = true;
    this.usage.record({ ...report, begun });
    if (delays !== undefined) this.delays = { ...this.delays, ...delays };
    if (spent !== undefined) this.recordSpending({ ...report, spent });
    // An entry that receives no reports of others sends its spending without the window.
    if (windowSpent === undefined) return;
    const at = this.options.timers.wallNow();
    const known = this.spending;
    const isStale = known === undefined || at - known.at >= SPENDING_REPLACEMENT_AGE_MILLISECONDS;
    if (!isStale && windowReach < known.windowReach) return;
    this.heardSince ??= this.options.timers.monotonicNow();
    const entries = Object.fromEntries(this.spendingByEntry);
    this.spending = { at, windowSpent, windowReach, entries };
  }

  /** Records an entry's spending, from a spending report or as part of an entry report. */
  recordSpending({ instance, incarnation, spent }: EntrySpending & { instance: string }): void {
    const known = this.spendingByEntry.get(instance);
    const before = known?.incarnation === incarnation ? known.spent : {};
    this.spendingByEntry.set(instance, { incarnation, spent: { ...before, ...spent } });
  }

  recordWork({ instance, incarnation, computed, begun }: WorkReport): void {
    this.hasChanged = true;
    this.prefixes.record(computed);
    if (begun !== undefined) this.usage.record({ instance, incarnation, begun });
  }

  /** Records the versions of the listed instances, and removes the prefixes of all others. */
  recordInstanceList(instances: readonly SharedInstance[]): void {
    this.hasChanged = true;
    this.prefixes.retainOnly(instances.map(({ instance }) => instance));
    const { timers } = this.options;
    this.versions.recordList(groupVersions(instances), timers.monotonicNow(), timers.wallNow());
  }

  private adoptVersions(saved: PersistedVersions | undefined): void {
    if (saved === undefined) return;
    const { timers } = this.options;
    const elapsed = timers.wallNow() - saved.at;
    // The clock was set back: the ages are not known.
    if (elapsed < 0) return;
    const now = timers.monotonicNow();
    const history = ageHistory(saved.history, elapsed);
    this.versions.adopt(history, now, { askedAt: now, isStarting: true });
  }

  /** Writes no more. */
  stop(): void {
    this.cancelTimer();
  }

  /** Waits for the write under way. */
  async finish(): Promise<void> {
    await this.lastWrite;
  }

  private async write(): Promise<void> {
    this.isWriting = true;
    this.hasChanged = false;
    try {
      await this.options.disk.savePersistedEntryState(this.contents);
    } catch (error) {
      this.options.logger.write('memoryNotKept', { reason: String(error) });
    } finally {
      this.isWriting = false;
    }
  }
}

/**
 * What a store does with the spending that entries report: it keeps the latest totals and the known
 * window for entries that start, and sends changes to its subscribers in digests. It plays
 * `EntryDigestPublisher` and `PersistedEntryState` of the stores.
 */
import type {
  EntryReport,
  EntrySpending,
  Milliseconds,
  PersistedSpending,
  SpendingReport,
} from '@hornbeampond/schema';

const MIN_DIGEST_DELAY_MILLISECONDS: Milliseconds = 20;
const MAX_DIGEST_DELAY_MILLISECONDS: Milliseconds = 50;
const DIGEST_DELAY_MILLISECONDS_PER_ENTRY: Milliseconds = 0.25;
const REPORT_EXPIRY_MILLISECONDS: Milliseconds = 3000;
const SPENDING_REPLACEMENT_AGE_MILLISECONDS: Milliseconds = 2000;

/** What a store sends to an entry. */
export interface SpendingDigest {
  readonly reports: readonly EntryReport[];
  readonly spending: readonly SpendingReport[];
}

function withoutWindow(report: EntryReport): EntryReport {
  const { windowSpent, windowReach, ...entryFields } = report;
  return entryFields;
}

export class SimulatedStore {
  /** The entries that receive its digests. */
  readonly subscribers = new Set<number>();

  frozenUntil: Milliseconds = 0;

  spending: PersistedSpending | undefined;

  /** When an entry first reported to it. */
  private heardSince: Milliseconds | undefined;

  private readonly spendingByEntry = new Map<string, EntrySpending>();

  private readonly latestReports = new Map<string, { report: EntryReport; at: Milliseconds }>();

  private readonly sentSpending = new Map<string, EntrySpending>();

  private pendingReports = new Map<string, EntryReport>();

  private pendingSpending: SpendingReport[] = [];

  private publishAt: Milliseconds | undefined;

  /** @param spending - What is on its disk. */
  constructor(spending?: PersistedSpending) {
    this.spending = spending;
  }

  addReport(report: EntryReport, now: Milliseconds): void {
    const { instance, windowSpent, windowReach = 0, spent = {} } = report;
    this.recordSpending({ ...report, spent });
    const known = this.spending;
    const isStale = known === undefined || now - known.at >= SPENDING_REPLACEMENT_AGE_MILLISECONDS;
    if (windowSpent !== undefined && (isStale || windowReach >= known.windowReach)) {
      this.heardSince ??= now;
      const entries = Object.fromEntries(this.spendingByEntry);
      this.spending = { at: now, windowSpent, windowReach, entries };
    }
    this.latestReports.set(instance, { report, at: now });
    this.pendingReports.set(instance, report);
    this.publishSoon(now);
  }

  addSpending(spending: SpendingReport, now: Milliseconds): void {
    this.recordSpending(spending);
    this.pendingSpending.push(spending);
    this.publishSoon(now);
  }

  /** What it sends to an entry that starts. */
  describeSpending(now: Milliseconds): PersistedSpending | undefined {
    const { spending, heardSince } = this;
    if (spending === undefined || heardSince === undefined) return spending;
    return { ...spending, heardFor: now - heardSince };
  }

  makeCompleteDigest(now: Milliseconds): SpendingDigest {
    const recent = [...this.latestReports.values()].filter(
      ({ at }) => now - at < REPORT_EXPIRY_MILLISECONDS,
    );
    return { reports: recent.map(({ report }) => withoutWindow(report)), spending: [] };
  }

  /** The digest that is due now, if any. */
  takeDigest(now: Milliseconds): SpendingDigest | undefined {
    if (this.publishAt === undefined || this.publishAt > now) return undefined;
    const reports = [...this.pendingReports.values()].map((report) => this.selectChanges(report));
    const digest = { reports, spending: this.pendingSpending };
    this.publishAt = undefined;
    this.pendingReports = new Map();
    this.pendingSpending = [];
    return digest;
  }

  private recordSpending({ instance, incarnation, spent }: EntrySpending & { instance: string }) {
    const known = this.spendingByEntry.get(instance);
    const before = known?.incarnation === incarnation ? known.spent : {};
    this.spendingByEntry.set(instance, { incarnation, spent: { ...before, ...spent } });
  }

  private publishSoon(now: Milliseconds): void {
    const delay = this.latestReports.size * DIGEST_DELAY_MILLISECONDS_PER_ENTRY;
    this.publishAt ??=
      now + Math.min(MAX_DIGEST_DELAY_MILLISECONDS, Math.max(MIN_DIGEST_DELAY_MILLISECONDS, delay));
  }

  private selectChanges(report: EntryReport): EntryReport {
    const { instance, incarnation, spent = {} } = report;
    const sent = this.sentSpending.get(instance);
    const known = sent?.incarnation === incarnation ? sent.spent : {};
    const changed = Object.entries(spent).filter(([name, amount]) => known[name] !== amount);
    this.sentSpending.set(instance, { incarnation, spent });
    return { ...withoutWindow(report), spent: Object.fromEntries(changed) };
  }
}

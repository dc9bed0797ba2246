/**
 * Collects what entries report for a short time and sends it to the subscribers in one digest. With
 * many entries, a push for each report to each subscriber would cost more than the calls that the
 * reports are about.
 *
 * Entries receive sums of work instead of single work reports, and reports without the fields that
 * only the fleet planner uses. Subscribers of an older version, which understand no digests, are
 * sent single reports.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import {
  SpeedTotals,
  UseTotals,
  WorkTotals,
  type EntryDigest,
  type EntryReport,
  type EntryUsage,
  type Milliseconds,
  type MonotonicMilliseconds,
  type SpendingReport,
  type WorkChanges,
  type WorkReport,
} from '@hornbeampond/schema';
import type { PeerSession } from '@hornbeampond/transport';
import { mergeNames } from './mergeDigests.js';
import type { Subscribers } from './Subscribers.js';

const MIN_DIGEST_DELAY_MILLISECONDS: Milliseconds = 20;

/** Above this, entries would choose backend servers by work that is too old. */
const MAX_DIGEST_DELAY_MILLISECONDS: Milliseconds = 50;

/** The delay grows with the number of entries, since more reports arrive during it. */
const DIGEST_DELAY_MILLISECONDS_PER_ENTRY: Milliseconds = 0.25;

/** A complete digest lists entries that have reported within this time. */
const REPORT_EXPIRY_MILLISECONDS: Milliseconds = 3000;

const NO_WORK_CHANGES: WorkChanges = {
  work: { servers: [], inProgress: [], promptTokens: [] },
  included: {},
};

interface ReceivedReport {
  readonly report: EntryReport;
  readonly receivedAt: MonotonicMilliseconds;
}

/** The spending of one run of an entry, as last sent to the subscribers. */
interface SentSpending {
  readonly incarnation: number;
  readonly spent: Readonly<Record<string, number>>;
}

function withoutPlannerFields(report: EntryReport): EntryReport {
  const { begun, demand, delays, windowSpent, windowReach, rollouts, ...entryFields } = report;
  return entryFields;
}

function extractUsage({ instance, incarnation, begun }: WorkReport): EntryUsage[] {
  return begun === undefined ? [] : [{ instance, incarnation, begun }];
}

export class EntryDigestPublisher {
  private readonly workTotals = new WorkTotals();

  private readonly speedTotals = new SpeedTotals();

  private readonly useTotals = new UseTotals();

  /** The connection on which each entry last reported work. */
  private readonly workSessions = new Map<string, PeerSession>();

  /** The latest report of each entry. */
  private readonly latestReports = new Map<string, ReceivedReport>();

  private readonly sentSpending = new Map<string, SentSpending>();

  private pendingReports = new Map<string, EntryReport>();

  private pendingSpending: SpendingReport[] = [];

  private pendingWork: WorkReport[] = [];

  private lastSequence = 0;

  private cancelTimer: Unsubscribe | undefined;

  /** Time of the next digest; used only while there is a timer. */
  private publishAt: MonotonicMilliseconds = 0;

  constructor(
    private readonly timers: TimerService,
    private readonly subscribers: Subscribers,
  ) {}

  /** Sequence of the last digest. */
  get sequence(): number {
    return this.lastSequence;
  }

  addReport(report: EntryReport): void {
    const receivedAt = this.timers.monotonicNow();
    this.latestReports.set(report.instance, { report, receivedAt });
    this.pendingReports.set(report.instance, report);
    // Entries report each second, also at rest, so a report alone is not worth a digest of its own.
    this.publishWithin(MAX_DIGEST_DELAY_MILLISECONDS);
  }

  addSpending(spending: SpendingReport): void {
    this.pendingSpending.push(spending);
    this.publishSoon();
  }

  addWork(session: PeerSession, report: WorkReport): void {
    this.workSessions.set(report.instance, session);
    this.workTotals.apply(report);
    this.speedTotals.apply(report, this.timers.monotonicNow());
    this.useTotals.apply(report, this.timers.monotonicNow());
    this.pendingWork.push(report);
    this.publishSoon();
  }

  /** Removes the work of an entry whose connection has ended. */
  removeSession(session: PeerSession): void {
    const { instance } = session.peer;
    if (this.workSessions.get(instance) !== session) return;
    this.workSessions.delete(instance);
    this.workTotals.remove(instance);
    this.speedTotals.removeEntry(instance);
    this.useTotals.remove(instance);
    this.publishSoon();
  }

  /** All that entries have reported, for a new subscriber that is an entry. */
  makeCompleteDigest(): EntryDigest {
    const now = this.timers.monotonicNow();
    const recent = [...this.latestReports.values()].filter(
      ({ receivedAt }) => now - receivedAt < REPORT_EXPIRY_MILLISECONDS,
    );
    const speeds = this.speedTotals.describeAll(now);
    const use = this.useTotals.describeAll(now);
    return {
      sequence: this.sequence,
      publishedAt: this.timers.wallNow(),
      reports: recent.map(({ report }) => withoutPlannerFields(report)),
      spending: [],
      ...this.workTotals.describeAll(),
      computed: {},
      usage: [],
      ...(speeds === undefined ? {} : { speeds }),
      ...(use === undefined ? {} : { use }),
    };
  }

  close(): void {
    this.cancelTimer?.();
  }

  private publishSoon(): void {
    const delay = this.latestReports.size * DIGEST_DELAY_MILLISECONDS_PER_ENTRY;
    this.publishWithin(
      Math.min(MAX_DIGEST_DELAY_MILLISECONDS, Math.max(MIN_DIGEST_DELAY_MILLISECONDS, delay)),
    );
  }

  private publishWithin(delay: Milliseconds): void {
    const publishAt = this.timers.monotonicNow() + delay;
    if (this.cancelTimer !== undefined && this.publishAt <= publishAt) return;
    this.cancelTimer?.();
    this.publishAt = publishAt;
    this.cancelTimer = this.timers.after(delay, () => {
      this.cancelTimer = undefined;
      this.publish();
    });
  }

  private publish(): void {
    const reports = [...this.pendingReports.values()];
    const spending = this.pendingSpending;
    const workReports = this.pendingWork;
    const usage = workReports.flatMap(extractUsage);
    this.pendingReports = new Map();
    this.pendingSpending = [];
    this.pendingWork = [];
    this.lastSequence += 1;
    const { sequence, subscribers } = this;
    const publishedAt = this.timers.wallNow();
    const workChanges = this.workTotals.takeChanges() ?? NO_WORK_CHANGES;
    const speeds = this.speedTotals.takeChanges(this.timers.monotonicNow());
    const use = this.useTotals.takeSums(this.timers.monotonicNow());
    const entryReports = reports.map((report) => this.selectChanges(report));
    const entryDigest: EntryDigest = {
      sequence,
      publishedAt,
      reports: entryReports,
      spending,
      ...workChanges,
      computed: mergeNames(workReports.map((report) => report.computed)),
      usage: [],
      ...(speeds === undefined ? {} : { speeds }),
      ...(use === undefined ? {} : { use }),
    };
    subscribers.pushEntryDigest(entryDigest, () => this.makeCompleteDigest());
    subscribers.pushDigestToOthers({
      sequence,
      publishedAt,
      reports,
      spending: [],
      ...NO_WORK_CHANGES,
      computed: {},
      usage,
    });
    subscribers.pushSingleReports({ reports, spending, workReports, usage });
  }

  /** The fields that entries use, and of the spending what has changed since the last digest. */
  private selectChanges(report: EntryReport): EntryReport {
    const { instance, incarnation, spent } = report;
    if (spent === undefined) return withoutPlannerFields(report);
    const sent = this.sentSpending.get(instance);
    const known = sent?.incarnation === incarnation ? sent.spent : {};
    const changed = Object.entries(spent).filter(([name, amount]) => known[name] !== amount);
    this.sentSpending.set(instance, { incarnation, spent });
    return { ...withoutPlannerFields(report), spent: Object.fromEntries(changed) };
  }
}

/**
 * What this entry knows of the work of other entries at backend servers, and the changes of its own
 * work for its next report. Load reports of backend servers alone are too old, and do not tell how
 * many prompt tokens are still to be prefilled: several entries would send long prompts to one
 * server while other servers are idle.
 *
 * Where entries report through a store, the store sends sums over all entries, including this one.
 * The sums state which report of this entry they include, and the work in that report is subtracted
 * from them. Where entries report to each other, their reports are added up here.
 */
import {
  WorkTotals,
  type EntryDigest,
  type Milliseconds,
  type MonotonicMilliseconds,
  type ServerWork,
  type WorkReport,
} from '@hornbeampond/schema';
import { DecayingPeak } from './DecayingPeak.js';

const NO_WORK: ServerWork = { inProgress: 0, promptTokens: 0 };

const MIN_REPORT_INTERVAL_MILLISECONDS: Milliseconds = 50;

/** With more entries the interval grows in proportion, which bounds the messages that a store gets. */
const MAX_ENTRIES_AT_MIN_INTERVAL = 8;

const MAX_REPORT_INTERVAL_MILLISECONDS: Milliseconds = 250;

/** How long the changes of an entry's work wait for its next report, at most. */
export function workReportInterval(entryCount: number): Milliseconds {
  const intervals = Math.max(1, entryCount / MAX_ENTRIES_AT_MIN_INTERVAL);
  return Math.min(MIN_REPORT_INTERVAL_MILLISECONDS * intervals, MAX_REPORT_INTERVAL_MILLISECONDS);
}

/** Sums of which nothing has been heard for this long are not used. */
const SUMS_EXPIRY_MILLISECONDS: Milliseconds = 3000;

/** Own reports that are kept until the sums include them. */
const MAX_PENDING_REPORTS = 64;

type WorkByServer = ReadonlyMap<string, ServerWork>;

interface PendingReport {
  readonly sequence: number;
  readonly work: WorkByServer;
}

/** The parts of a work report that depend on the state of this entry. */
export type DueWorkReport = Required<
  Pick<WorkReport, 'sequence' | 'work' | 'isWhole' | 'computed'>
>;

/** What else there is to be reported along with the work. */
export interface DueSpeeds {
  readonly isDue: boolean;
  /** True if it must not wait for the interval of many entries. */
  readonly isUrgent: boolean;
}

export class WorkReports {
  /** From the reports of single peers. */
  private readonly peerTotals = new WorkTotals();

  /** The sums of a store over all entries, by backend server. */
  private readonly sums = new Map<string, ServerWork>();

  private sumsReceivedAt: MonotonicMilliseconds | undefined;

  private readonly pauses = new DecayingPeak();

  private readonly transitTimes = new DecayingPeak();

  /** This entry's work that the sums include. */
  private includedWork: WorkByServer = new Map();

  /** Own reports that the sums may include next, oldest first. */
  private pendingReports: PendingReport[] = [];

  private sequence = 0;

  /** Backend servers at which this entry's own work has changed since the last report. */
  private readonly changedServers = new Set<string>();

  /** Backend servers at which the last report listed work. */
  private reportedServers: readonly string[] = [];

  /**
   * Digests of the prefixes that backend servers have prefilled for this entry since its last
   * report, keyed by backend server.
   */
  private readonly prefilledPrefixes = new Map<string, Set<string>>();

  private lastSentAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  /** Work of all other entries at a backend server. */
  peerWorkAt(backendServer: string): ServerWork {
    const reported = this.peerTotals.at(backendServer);
    const sum = this.sums.get(backendServer);
    if (sum === undefined) return reported;
    const own = this.includedWork.get(backendServer) ?? NO_WORK;
    return {
      inProgress: reported.inProgress + Math.max(0, sum.inProgress - own.inProgress),
      promptTokens: reported.promptTokens + Math.max(0, sum.promptTokens - own.promptTokens),
    };
  }

  /** Age of the sums of a store; undefined if there are none, or if they are too old to be used. */
  ageOfSums(now: MonotonicMilliseconds): Milliseconds | undefined {
    if (this.sumsReceivedAt === undefined) return undefined;
    const age = now - this.sumsReceivedAt;
    return age <= SUMS_EXPIRY_MILLISECONDS ? age : undefined;
  }

  /** The longest pause between the last sums of a store. */
  longestPause(now: MonotonicMilliseconds): Milliseconds {
    return Math.min(SUMS_EXPIRY_MILLISECONDS, this.pauses.valueAt(now));
  }

  /** The longest time that the last sums were under way from the store, or waited to be read. */
  longestTransit(now: MonotonicMilliseconds): Milliseconds {
    return Math.min(SUMS_EXPIRY_MILLISECONDS, this.transitTimes.valueAt(now));
  }

  /** Marks this entry's own work at a backend server as changed since the last report. */
  markOwnWorkChanged(backendServer: string): void {
    this.changedServers.add(backendServer);
  }

  recordPrefilledPrefixes(backendServer: string, digests: readonly string[]): void {
    if (digests.length === 0) return;
    const digestsOfServer = this.prefilledPrefixes.get(backendServer) ?? new Set();
    digests.forEach((digest) => digestsOfServer.add(digest));
    this.prefilledPrefixes.set(backendServer, digestsOfServer);
  }

  /**
   * Returns and clears the pending changes, or returns undefined if none is due to be reported.
   *
   * @param isForced - True if a report is due for another reason.
   */
  takeDueReport(
    entryCount: number,
    now: MonotonicMilliseconds,
    readOwnWork: (backendServer: string) => ServerWork,
    speeds: DueSpeeds = { isDue: false, isUrgent: false },
    isForced = false,
  ): DueWorkReport | undefined {
    const hasChanges = this.changedServers.size > 0 || this.prefilledPrefixes.size > 0;
    if (!hasChanges && !speeds.isDue && !isForced) return undefined;
    const interval = workReportInterval(speeds.isUrgent ? 1 : entryCount);
    const isDue = now - this.lastSentAt >= interval;
    if (!isDue && !isForced) {
      return undefined;
    }
    this.lastSentAt = now;
    const computed = Object.fromEntries(
      [...this.prefilledPrefixes].map(([backendServer, digests]) => [backendServer, [...digests]]),
    );
    this.prefilledPrefixes.clear();
    return { ...this.takeOwnWork(readOwnWork), computed };
  }

  /** Merges the report of one peer. */
  applyReport(report: WorkReport): void {
    this.peerTotals.apply(report);
  }

  /** Removes the work that a peer has reported; its requests are assumed to have ended. */
  removePeerWork(peer: string): void {
    this.peerTotals.remove(peer);
  }

  /**
   * Applies the sums of a store.
   *
   * @param isWhole - True for the first sums after subscribing, which replace all others.
   * @param transit - How long ago the store has sent them.
   */
  applySums(
    { work, included }: Pick<EntryDigest, 'work' | 'included'>,
    isWhole: boolean,
    ownInstance: string,
    now: MonotonicMilliseconds,
    transit: Milliseconds = 0,
  ): void {
    this.transitTimes.record(transit, now);
    this.pauses.record(now - (this.sumsReceivedAt ?? now), now);
    this.sumsReceivedAt = now;
    if (isWhole) {
      this.sums.clear();
      this.includedWork = new Map();
    }
    work.servers.forEach((server, position) => {
      const inProgress = work.inProgress[position] ?? 0;
      const promptTokens = work.promptTokens[position] ?? 0;
      if (inProgress > 0 || promptTokens > 0) this.sums.set(server, { inProgress, promptTokens });
      else this.sums.delete(server);
    });
    const sequence = included[ownInstance];
    if (sequence !== undefined) this.setIncludedReport(sequence);
  }

  private setIncludedReport(sequence: number): void {
    const report = this.pendingReports.find((pending) => pending.sequence === sequence);
    if (report === undefined) return;
    this.includedWork = report.work;
    // Kept, because another store that this entry turns to may not have got further.
    this.pendingReports = this.pendingReports.filter((pending) => pending.sequence >= sequence);
  }

  /** All own work, and zero for servers without work any more that the last report listed. */
  private takeOwnWork(
    readOwnWork: (backendServer: string) => ServerWork,
  ): Omit<DueWorkReport, 'computed'> {
    const servers = new Set([...this.reportedServers, ...this.changedServers]);
    this.changedServers.clear();
    const work = new Map([...servers].map((server) => [server, readOwnWork(server)] as const));
    const present = new Map([...work].filter(([, { inProgress }]) => inProgress > 0));
    this.reportedServers = [...present.keys()];
    this.sequence += 1;
    const { sequence } = this;
    this.pendingReports.push({ sequence, work: present });
    if (this.pendingReports.length > MAX_PENDING_REPORTS) this.pendingReports.shift();
    return { sequence, work: Object.fromEntries(work), isWhole: true };
  }
}

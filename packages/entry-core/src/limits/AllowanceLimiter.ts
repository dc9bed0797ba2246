/**
 * Limits what a workspace may spend at all entries together: in any window at most its rate times
 * the length of the window, plus a burst. Each entry counts its own spending and adds what the
 * others report, once a second or immediately if much is unreported. Spending that the others may
 * not know yet, because no store has acknowledged it, is limited to an equal share per entry of the
 * remaining allowance and tolerance, so that all entries together stay within limit and tolerance.
 */
import type {
  Allowance,
  EntryReport,
  EpochMilliseconds,
  Milliseconds,
  MonotonicMilliseconds,
  PersistedSpending,
  SpendingReport,
  SpendingBySecond,
} from '@hornbeampond/schema';
import { SLICE_MILLISECONDS, SpendingWindow } from './SpendingWindow.js';

/** A peer not seen for this long is treated as unreachable; it may still be spending. */
const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 3000;

/** A peer not seen for this long is removed. */
const PEER_EXPIRY_MILLISECONDS: Milliseconds = 60_000;

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Assumed time between the last persisted report and a power loss: stores write four times a
 * second, and entries report once, one after the other.
 */
const UNPERSISTED_SECONDS = 0.4;

/**
 * Persisted spending up to this age is complete: all entries are assumed to have been down since.
 */
const MAX_OUTAGE_MILLISECONDS: Milliseconds = 5000;

/** Window that an entry must know before it ignores persisted spending, if its own are shorter. */
const MIN_RESTORED_WINDOW_MILLISECONDS: Milliseconds = 8000;

/** A reachable peer is seen at least this often. */
const MAX_REPORT_INTERVAL_MILLISECONDS: Milliseconds = 1200;

/**
 * Largest fraction of the remaining allowance for an entry that has just started and cannot count
 * the others yet.
 */
const MAX_STARTUP_FRACTION_OF_ALLOWANCE = 0.1;

/** Fraction of the tolerance that all entries together may spend without having reported it. */
const UNREPORTED_FRACTION_OF_TOLERANCE = 0.3;

/**
 * Fraction of the tolerance that is added to the limit while the spending of all entries is known.
 * The rest covers spending that is reported too late.
 */
const NORMAL_FRACTION_OF_TOLERANCE = 0.3;

/** Fraction of the tolerance that is added to the limit while only part of the window is known. */
const RECOVERY_FRACTION_OF_TOLERANCE = 0.25;

/**
 * While at most this fraction of the peers is overdue, spending goes on as usual: the overdue ones
 * themselves miss most reports and keep to their quotas, which together are within the tolerance.
 */
const MAX_OVERDUE_FRACTION_OF_PEERS = 0.1;

/** A store acknowledges a report within this time unless it is down or unreachable. */
const ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS: Milliseconds = 100;

/** Unreported spending above this fraction of the entry's quota is reported immediately. */
const IMMEDIATE_REPORT_FRACTION_OF_QUOTA = 0.5;

interface Peer {
  readonly incarnation: number;
  readonly spent: Readonly<Record<string, number>>;
  readonly lastSeenAt: MonotonicMilliseconds;
  /**
   * True once it has reported that it shuts down; no share is reserved for it after its timeout.
   */
  readonly leaving: boolean;
  /** How many entries the peer counts, itself included. */
  readonly entryCount: number;
}

/** What a decision was based on, for the log. */
export interface SpendingFacts {
  /** What is exhausted: the limit of the window, or this entry's quota of unconfirmed spending. */
  readonly bound: 'window' | 'part';
  readonly amount: number;
  /** What the reachable entries may spend in a window now. */
  readonly limit: number;
  /** Known spending of all entries in the window. */
  readonly known: number;
  /** This entry's quota of unconfirmed spending. */
  readonly part: number;
  /** Spending of this entry that the others may not have received. */
  readonly hidden: number;
  /** Number of entries, unreachable ones included. */
  readonly entries: number;
  /** Age of the oldest among the peers' last reports; undefined without peers. */
  readonly oldestReport?: Milliseconds;
}

/** Whether a request may run, and if not, when to retry. */
export type AllowanceDecision =
  | { readonly type: 'allowed' }
  | {
      readonly type: 'exceeded';
      readonly retryAfterMilliseconds: Milliseconds;
      readonly facts: SpendingFacts;
      /** True if the request may run once a store has acknowledged what was spent before. */
      readonly awaitsAcknowledgement: boolean;
    };

export class AllowanceLimiter {
  /** Known spending of all entries. */
  private readonly totalSpending = new SpendingWindow();

  /** Spending of this entry alone. */
  private readonly ownSpending = new SpendingWindow();

  private readonly peers = new Map<string, Peer>();

  /** Spending of this entry since the process started, by workspace. */
  private readonly ownTotals: Record<string, number> = {};

  /** `ownTotals` as last reported to the other entries. */
  private readonly reportedTotals: Record<string, number> = {};

  /** `ownTotals` as last acknowledged by a store. */
  private readonly acknowledgedTotals: Record<string, number> = {};

  /** By workspace, as last passed to `check`. */
  private readonly windowLengths = new Map<string, Milliseconds>();

  /** Since when the spending of all entries is known here. */
  private historyStartedAt: MonotonicMilliseconds | undefined;

  /** When `check` was first called. */
  private firstCheckedAt: MonotonicMilliseconds | undefined;

  /**
   * Returns what each workspace has spent here since the process started, and marks it as reported.
   */
  reportTotals(): Readonly<Record<string, number>> {
    Object.assign(this.reportedTotals, this.ownTotals);
    return { ...this.ownTotals };
  }

  /** Does the same for one workspace. */
  reportTotal(workspace: string): Readonly<Record<string, number>> {
    const total = this.ownTotals[workspace] ?? 0;
    this.reportedTotals[workspace] = total;
    return { [workspace]: total };
  }

  /** True if some spending of the workspace was not reported yet. */
  hasUnreportedSpending(workspace: string): boolean {
    return this.unreportedTotal(workspace) > 0;
  }

  /** Handles the acknowledgement of reported totals by a store; it may arrive out of order. */
  acknowledge(spent: Readonly<Record<string, number>>): void {
    Object.entries(spent).forEach(([workspace, total]) => {
      const known = this.acknowledgedTotals[workspace] ?? 0;
      this.acknowledgedTotals[workspace] = Math.max(known, total);
    });
  }

  /** Known spending of each workspace at all entries in its window, by second, newest first. */
  windowSpent(now: MonotonicMilliseconds): SpendingBySecond {
    // Without requests for a workspace here its window length is unknown; a fixed time is used.
    const spent = [...this.totalSpending.workspaces].map((workspace) => {
      const windowLength = this.windowLengths.get(workspace) ?? PEER_EXPIRY_MILLISECONDS;
      this.totalSpending.evictBefore(workspace, now - windowLength);
      return [workspace, this.totalSpending.sumBySecond(workspace, now)] as const;
    });
    return Object.fromEntries(spent.filter(([, amounts]) => amounts.length > 0));
  }

  /** Number of entries: this one and the peers that are not removed yet. */
  get entryCount(): number {
    return this.peers.size + 1;
  }

  /** For how long up to now the spending of all entries is known here. */
  historyLength(now: MonotonicMilliseconds): Milliseconds {
    this.historyStartedAt ??= now;
    return now - this.historyStartedAt;
  }

  /** Returns whether `amount` may be spent now, without spending it. */
  check(
    workspace: string,
    allowance: Allowance,
    amount: number,
    now: MonotonicMilliseconds,
  ): AllowanceDecision {
    const { windowMilliseconds } = allowance;
    this.firstCheckedAt ??= now;
    this.windowLengths.set(workspace, windowMilliseconds);
    [this.totalSpending, this.ownSpending].forEach((spending) =>
      spending.evictBefore(workspace, now - windowMilliseconds),
    );
    const limit = this.currentLimit(allowance, now);
    const spent = this.totalSpending.sumSince(workspace, now - windowMilliseconds);
    const unreceived = this.unreceivedSpending(workspace, windowMilliseconds, now);
    const unconfirmed = Math.max(unreceived, this.unacknowledgedSpending(workspace, now));
    const quota = this.unreportedQuota(limit - spent + unconfirmed, allowance, now);
    const entries = this.countEntries(now).all;
    const facts = {
      amount,
      limit,
      known: spent,
      part: quota,
      hidden: unconfirmed,
      entries,
      ...this.ageOfOldestReport(now),
    };
    // A request above the whole limit could never run; it is allowed while the window is empty.
    const excess = spent + Math.min(amount, limit) - limit;
    if (excess > 0) {
      const retryAfterMilliseconds = this.calculateRetryDelay(
        workspace,
        allowance,
        { known: spent, amount, excess },
        now,
      );
      return {
        type: 'exceeded',
        retryAfterMilliseconds,
        facts: { bound: 'window', ...facts },
        awaitsAcknowledgement: false,
      };
    }
    // One request of any size may be unconfirmed: if it is large, it is reported immediately.
    if (unconfirmed === 0 || unconfirmed + amount <= quota) return { type: 'allowed' };
    const awaitsAcknowledgement = unreceived === 0 || unreceived + amount <= quota;
    return {
      type: 'exceeded',
      retryAfterMilliseconds: awaitsAcknowledgement
        ? ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS
        : MAX_REPORT_INTERVAL_MILLISECONDS,
      facts: { bound: 'part', ...facts },
      awaitsAcknowledgement,
    };
  }

  /** Spends an amount; returns true if it must be reported to the other entries immediately. */
  spendAndCheckReportDue(
    workspace: string,
    allowance: Allowance,
    amount: number,
    now: MonotonicMilliseconds,
  ): boolean {
    this.ownTotals[workspace] = (this.ownTotals[workspace] ?? 0) + amount;
    this.totalSpending.record(workspace, amount, now);
    this.ownSpending.record(workspace, amount, now);
    const { windowMilliseconds } = allowance;
    const spent = this.totalSpending.sumSince(workspace, now - windowMilliseconds);
    const unreported = this.unreportedTotal(workspace);
    const quota = this.unreportedQuota(
      this.currentLimit(allowance, now) - spent + unreported,
      allowance,
      now,
    );
    return this.peers.size > 0 && unreported > quota * IMMEDIATE_REPORT_FRACTION_OF_QUOTA;
  }

  /**
   * Handles the report of another entry. Adds its spending since its previous report, or the
   * reported window if the peer is new.
   */
  receive(report: EntryReport, now: MonotonicMilliseconds): void {
    const { instance, incarnation, spent = {}, leaving, entries: entryCount = 1 } = report;
    const peer = this.peers.get(instance);
    if (peer !== undefined) {
      this.peers.set(instance, { ...peer, entryCount });
      this.receiveSpending({ instance, incarnation, spent, leaving }, now);
      return;
    }
    this.peers.set(instance, {
      incarnation,
      spent,
      lastSeenAt: now,
      leaving,
      entryCount,
    });
    const { windowSpent = {}, windowReach = 0 } = report;
    this.mergeWindow(windowSpent, windowReach, now);
  }

  /**
   * Restores the window that a store has persisted. An entry that knows its window already ignores
   * it: it gets the state again whenever it turns to another store, and would count twice what was
   * spent around the last write.
   *
   * @param ownInstance - Name of this entry; the store may list an earlier incarnation of it.
   */
  restore(
    { at, windowSpent, windowReach, entries }: PersistedSpending,
    ownInstance: string,
    now: MonotonicMilliseconds,
    wallNow: EpochMilliseconds,
  ): void {
    if (this.knowsWindow(now)) return;
    const age = Math.max(0, wallNow - at);
    // If the write is older, entries may have run since, and what they have spent is unknown.
    const historyLength = age <= MAX_OUTAGE_MILLISECONDS ? windowReach : -age;
    this.mergeWindow(windowSpent, historyLength, now - age);
    // Spending is assumed to have continued at the same rate between the write and the power loss.
    Object.entries(windowSpent).forEach(([workspace, [lastSecond = 0]]) => {
      this.totalSpending.recordAt(workspace, lastSecond * UNPERSISTED_SECONDS, now - age);
    });
    Object.entries(entries).forEach(([instance, { incarnation, spent }]) => {
      if (instance === ownInstance || this.peers.has(instance)) return;
      const lastSeenAt = now - age;
      this.peers.set(instance, {
        incarnation,
        spent,
        lastSeenAt,
        leaving: false,
        entryCount: 1,
      });
    });
  }

  /** True if this entry has counted the spending of all entries for a whole window. */
  private knowsWindow(now: MonotonicMilliseconds): boolean {
    if (this.historyStartedAt === undefined) return false;
    const windowLength = Math.max(MIN_RESTORED_WINDOW_MILLISECONDS, ...this.windowLengths.values());
    return now - this.historyStartedAt >= windowLength;
  }

  /**
   * Handles a spending report, which is sent between two full reports. It is ignored before the
   * first full report of the peer.
   */
  receiveSpending(
    { instance, incarnation, spent, leaving }: Omit<SpendingReport, 'type'>,
    now: MonotonicMilliseconds,
  ): void {
    const peer = this.peers.get(instance);
    if (peer === undefined || incarnation < peer.incarnation) return;
    const previous = peer.incarnation === incarnation ? peer.spent : {};
    const updated: Record<string, number> = { ...previous };
    Object.entries(spent).forEach(([workspace, amount]) => {
      const increase = amount - (previous[workspace] ?? 0);
      // Reports that are relayed by two stores can arrive out of order.
      if (increase <= 0) return;
      updated[workspace] = amount;
      this.totalSpending.record(workspace, increase, now);
    });
    const { entryCount } = peer;
    this.peers.set(instance, {
      incarnation,
      spent: updated,
      lastSeenAt: now,
      leaving,
      entryCount,
    });
  }

  /**
   * Adds spending that a peer or a store has recorded and this entry has not. Otherwise an entry
   * that restarts would start with an empty window and allow it to be spent again.
   */
  private mergeWindow(
    windowSpent: SpendingBySecond,
    historyLength: Milliseconds,
    at: MonotonicMilliseconds,
  ): void {
    this.historyStartedAt = Math.min(this.historyStartedAt ?? at, at - historyLength);
    Object.entries(windowSpent).forEach(([workspace, amounts]) => {
      const knownTotal = this.totalSpending.sumSince(workspace, Number.NEGATIVE_INFINITY);
      const reportedTotal = amounts.reduce((sum, amount) => sum + amount, 0);
      let missing = Math.max(0, reportedTotal - knownTotal);
      // The spending that is missing here is assumed to be the most recent.
      amounts.forEach((amount, second) => {
        const added = Math.min(missing, amount);
        missing -= added;
        this.totalSpending.recordAt(workspace, added, at - second * MILLISECONDS_PER_SECOND);
      });
    });
  }

  /**
   * What the reachable entries may spend in a window now. While only part of the window is known,
   * it is the rate over the known part plus a fraction of the tolerance, or the burst if that is
   * more. Otherwise a window could be spent twice, before a power loss and after it.
   */
  private currentLimit(allowance: Allowance, now: MonotonicMilliseconds): number {
    const { perSecond, burst, windowMilliseconds, tolerated } = allowance;
    const historyLength = this.historyLength(now);
    const accrued =
      (perSecond * Math.min(historyLength, windowMilliseconds)) / MILLISECONDS_PER_SECOND;
    const fullLimit = (perSecond * windowMilliseconds) / MILLISECONDS_PER_SECOND + burst;
    const recoveryLimit = Math.max(burst, accrued + tolerated * RECOVERY_FRACTION_OF_TOLERANCE);
    const limit =
      historyLength < windowMilliseconds ? Math.min(fullLimit, recoveryLimit) : fullLimit;
    const fraction = this.reachableFraction(now);
    const isSpendingKnown =
      fraction === 1 && historyLength >= windowMilliseconds && !this.areReportsOverdue(now);
    return limit * fraction + (isSpendingKnown ? tolerated * NORMAL_FRACTION_OF_TOLERANCE : 0);
  }

  /**
   * What this entry may spend unreported: its equal share of the remaining allowance and tolerance.
   */
  private unreportedQuota(
    remaining: number,
    { tolerated, windowMilliseconds }: Allowance,
    now: number,
  ): number {
    const equalFraction = 1 / this.countEntries(now).all;
    const fraction = this.isStarting(now, windowMilliseconds)
      ? Math.min(MAX_STARTUP_FRACTION_OF_ALLOWANCE, equalFraction)
      : equalFraction;
    return Math.max(0, remaining + tolerated * UNREPORTED_FRACTION_OF_TOLERANCE) * fraction;
  }

  /**
   * True while this entry may not know what others spend: it has no peers yet, or all entries have
   * started together and not yet reported their first spending.
   */
  private isStarting(now: MonotonicMilliseconds, windowMilliseconds: Milliseconds): boolean {
    if (now - (this.firstCheckedAt ?? now) >= MAX_REPORT_INTERVAL_MILLISECONDS) return false;
    return this.peers.size === 0 || this.historyLength(now) < windowMilliseconds;
  }

  private unreportedTotal(workspace: string): number {
    return (this.ownTotals[workspace] ?? 0) - (this.reportedTotals[workspace] ?? 0);
  }

  /**
   * Own spending that no store has acknowledged. An entry whose peers are all unreachable has its
   * share of the allowance to itself, so there it does not matter.
   */
  private unacknowledgedSpending(workspace: string, now: MonotonicMilliseconds): number {
    if (this.countEntries(now).reachable === 1) return 0;
    return (this.ownTotals[workspace] ?? 0) - (this.acknowledgedTotals[workspace] ?? 0);
  }

  /**
   * Own spending that the other entries may not have received: all of it at the start, then what
   * was spent since a peer with an overdue report was last seen. An entry that receives no reports
   * must assume that its own are not received either.
   */
  private unreceivedSpending(
    workspace: string,
    windowMilliseconds: Milliseconds,
    now: MonotonicMilliseconds,
  ): number {
    if (this.isStarting(now, windowMilliseconds)) return this.ownTotals[workspace] ?? 0;
    if (!this.areReportsOverdue(now)) return 0;
    let unconfirmedSince = now;
    this.peers.forEach(({ lastSeenAt }) => {
      const sinceLastSeen = now - lastSeenAt;
      if (
        sinceLastSeen > MAX_REPORT_INTERVAL_MILLISECONDS &&
        sinceLastSeen < PEER_TIMEOUT_MILLISECONDS
      ) {
        unconfirmedSince = Math.min(unconfirmedSince, lastSeenAt);
      }
    });
    return unconfirmedSince < now ? this.ownSpending.sumSince(workspace, unconfirmedSince) : 0;
  }

  /**
   * Counts all entries and the reachable ones. An entry that starts during a network partition
   * knows how many entries are on the other side only from the reports of its peers.
   */
  private countEntries(now: MonotonicMilliseconds): { all: number; reachable: number } {
    let reachable = 1;
    let all = this.entryCount;
    this.peers.forEach(({ lastSeenAt, entryCount }) => {
      if (now - lastSeenAt >= PEER_TIMEOUT_MILLISECONDS) return;
      reachable += 1;
      all = Math.max(all, entryCount);
    });
    return { all, reachable };
  }

  /**
   * Removes expired peers and returns the fraction of the allowance that is not reserved for
   * unreachable ones. Without it, each side of a network partition would spend the whole allowance.
   */
  protected reachableFraction(now: MonotonicMilliseconds): number {
    this.peers.forEach(({ lastSeenAt, leaving }, instance) => {
      const sinceLastSeen = now - lastSeenAt;
      const hasLeft = leaving && sinceLastSeen >= PEER_TIMEOUT_MILLISECONDS;
      if (hasLeft || sinceLastSeen >= PEER_EXPIRY_MILLISECONDS) this.peers.delete(instance);
    });
    const { all, reachable } = this.countEntries(now);
    return reachable / all;
  }

  /** True while the reports of so many peers are overdue that the stores may be partitioned. */
  private areReportsOverdue(now: MonotonicMilliseconds): boolean {
    let overdue = 0;
    this.peers.forEach(({ lastSeenAt }) => {
      if (now - lastSeenAt > MAX_REPORT_INTERVAL_MILLISECONDS) overdue += 1;
    });
    return overdue > this.peers.size * MAX_OVERDUE_FRACTION_OF_PEERS;
  }

  private ageOfOldestReport(now: MonotonicMilliseconds): Pick<SpendingFacts, 'oldestReport'> {
    if (this.peers.size === 0) return {};
    const lastSeenAt = Math.min(...[...this.peers.values()].map((peer) => peer.lastSeenAt));
    return { oldestReport: now - lastSeenAt };
  }

  /** Time until enough spending expires, or enough of the window is known, to allow this amount. */
  private calculateRetryDelay(
    workspace: string,
    { perSecond, windowMilliseconds, tolerated }: Allowance,
    { known, amount, excess }: { known: number; amount: number; excess: number },
    now: MonotonicMilliseconds,
  ): Milliseconds {
    const historyLength = this.historyLength(now);
    if (historyLength < windowMilliseconds) {
      const required = known + amount - tolerated * RECOVERY_FRACTION_OF_TOLERANCE;
      const accruedAfter = (required / Math.max(1, perSecond)) * MILLISECONDS_PER_SECOND;
      const wait = Math.min(accruedAfter, windowMilliseconds) - historyLength;
      return Math.max(SLICE_MILLISECONDS, wait);
    }
    const expiresAt = this.totalSpending.findExpiryTime(workspace, excess, windowMilliseconds);
    return Math.max(0, (expiresAt ?? now) - now);
  }
}

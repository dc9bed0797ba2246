/**
 * Limits what a workspace may spend at all entries together: in any window at most its rate times
 * the length of the window, plus a burst. Each entry counts its own spending and adds what the
 * others report, once a second or immediately if much is unreported. Spending that the others may
 * not know yet, because no store has acknowledged it, is limited to a part per entry of the
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
  SpendingTimes,
} from '@hornbeampond/schema';
import type { AllowanceDecision, SpendingFacts } from './allowanceDecision.js';
import { OwnSpending } from './OwnSpending.js';
import { SpendingHistory } from './SpendingHistory.js';
import {
  MAX_REPORT_INTERVAL_MILLISECONDS,
  SpendingPeers,
  sendingTime,
  updateClockOffset,
} from './SpendingPeers.js';
import {
  KNOWN_SPENDING_AGE_MILLISECONDS,
  OWN_SPENDING_AGE_MILLISECONDS,
  quotaFraction,
} from './quotaFraction.js';
import { SLICE_MILLISECONDS, type SpendingWindow } from './SpendingWindow.js';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Assumed time between the last persisted spending and a power loss: stores write four times a
 * second, and entries report once, one after the other. With messages of 100 ms it was 1.3 s, with
 * messages of 3 ms 0.4 s.
 */
const UNPERSISTED_SECONDS = 1;

/**
 * A store that has received reports for a shorter time may have lost power together with all
 * entries, and what they have spent last is only estimated.
 */
const MIN_HEARD_MILLISECONDS: Milliseconds = 10_000;

/**
 * Persisted spending up to this age is complete: all entries are assumed to have been down since.
 */
const MAX_OUTAGE_MILLISECONDS: Milliseconds = 5000;

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

/** A store acknowledges a report within this time unless it is down or unreachable. */
const ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS: Milliseconds = 100;

/**
 * The times of spending are reported while more than this fraction of the limit is spent, or of the
 * quota unreported. Below it, an error of a second in the time matters little.
 */
const TIMED_FRACTION_OF_LIMIT = 0.25;
const TIMED_FRACTION_OF_QUOTA = 0.1;

/** Unreported spending above this fraction of the entry's quota is reported immediately. */
const IMMEDIATE_REPORT_FRACTION_OF_QUOTA = 0.5;

function describeClock(clockOffset: Milliseconds | undefined) {
  return clockOffset === undefined ? {} : { clockOffset };
}

export class AllowanceLimiter {
  /** Known spending of all entries. */
  private readonly history = new SpendingHistory();

  private readonly own = new OwnSpending();

  private readonly peers = new SpendingPeers();

  /** When spending was restored from a store that may have lost power with all entries. */
  private restoredAt: MonotonicMilliseconds = -Infinity;

  /** When `check` was first called. */
  private firstCheckedAt: MonotonicMilliseconds | undefined;

  /**
   * Returns what each workspace has spent here since the process started, and marks it as reported.
   */
  reportTotals(): Readonly<Record<string, number>> {
    return this.own.report();
  }

  /** Does the same for one workspace. */
  reportTotal(workspace: string): Readonly<Record<string, number>> {
    return this.own.reportOne(workspace);
  }

  /** When the reported totals were spent; to be sent with them. */
  reportTimes(now: MonotonicMilliseconds, workspace?: string): SpendingTimes {
    const recentlySpent = this.own.describeRecent(now, workspace);
    const isEmpty = Object.keys(recentlySpent).length === 0;
    return { sentAt: Math.round(now), ...(isEmpty ? {} : { recentlySpent }) };
  }

  /** True if some spending of the workspace was not reported yet. */
  hasUnreportedSpending(workspace: string): boolean {
    return this.own.unreported(workspace) > 0;
  }

  /** Handles the acknowledgement of reported totals by a store; it may arrive out of order. */
  acknowledge(spent: Readonly<Record<string, number>>): void {
    this.own.acknowledge(spent);
  }

  /**
   * Known spending of each workspace at all entries in its window, by second, newest first, and for
   * how long it is known; to be sent with a report. Nothing while this entry receives no reports:
   * stores know more of what the others have spent, and would not count it at entries that start.
   */
  reportWindow(now: MonotonicMilliseconds): Pick<EntryReport, 'windowSpent' | 'windowReach'> {
    if (this.peers.summarize(now).isBlind) return {};
    return { windowSpent: this.history.describe(now), windowReach: this.history.length(now) };
  }

  /** Number of entries: this one and the peers that are not removed yet. */
  get entryCount(): number {
    return this.peers.entryCount;
  }

  /** For how long up to now the spending of all entries is known here. */
  historyLength(now: MonotonicMilliseconds): Milliseconds {
    return this.history.length(now);
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
    this.history.evict(workspace, windowMilliseconds, now);
    this.own.evictBefore(workspace, now - windowMilliseconds);
    const limit = this.currentLimit(allowance, now);
    const spent = this.history.window.total(workspace);
    const unreceived = this.unreceivedSpending(workspace, windowMilliseconds, now);
    const unconfirmed = Math.max(unreceived, this.unacknowledgedSpending(workspace, now));
    const remaining = limit - spent + unconfirmed;
    const quota = this.unreportedQuota(workspace, { limit, remaining }, allowance, now);
    const entries = this.peers.summarize(now).all;
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
    this.history.window.record(workspace, amount, now);
    this.own.record(workspace, amount, now);
    const { windowMilliseconds } = allowance;
    const spent = this.history.window.sumSince(workspace, now - windowMilliseconds);
    const unreported = this.own.unreported(workspace);
    const limit = this.currentLimit(allowance, now);
    const remaining = limit - spent + unreported;
    const quota = this.unreportedQuota(workspace, { limit, remaining }, allowance, now);
    const isMuch =
      spent > limit * TIMED_FRACTION_OF_LIMIT || unreported > quota * TIMED_FRACTION_OF_QUOTA;
    if (isMuch) this.own.reportTimes(workspace, now);
    return this.entryCount > 1 && unreported > quota * IMMEDIATE_REPORT_FRACTION_OF_QUOTA;
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
      this.receiveSpending({ ...report, spent }, now);
      return;
    }
    this.peers.set(instance, {
      incarnation,
      spent,
      lastSeenAt: now,
      leaving,
      entryCount,
      ...describeClock(updateClockOffset(undefined, report.sentAt, now)),
    });
    const { windowSpent = {}, windowReach = 0 } = report;
    this.history.merge(windowSpent, windowReach, now);
  }

  /**
   * Restores the window that a store has persisted. An entry that knows its window already ignores
   * it: it gets the state again whenever it turns to another store, and would count twice what was
   * spent around the last write.
   *
   * @param ownInstance - Name of this entry; the store may list an earlier incarnation of it.
   */
  restore(
    { at, windowSpent, windowReach, entries, heardFor }: PersistedSpending,
    ownInstance: string,
    now: MonotonicMilliseconds,
    wallNow: EpochMilliseconds,
  ): void {
    if (this.history.coversWindow(now)) return;
    const age = Math.max(0, wallNow - at);
    // If the write is older, entries may have run since, and what they have spent is unknown.
    const historyLength = age <= MAX_OUTAGE_MILLISECONDS ? windowReach : -age;
    this.history.merge(windowSpent, historyLength, now - age);
    if (heardFor === undefined) this.addUnpersisted(windowSpent, now - age);
    if (heardFor === undefined || heardFor < MIN_HEARD_MILLISECONDS) this.restoredAt = now;
    Object.entries(entries).forEach(([instance, { incarnation, spent }]) => {
      if (instance === ownInstance || this.peers.get(instance) !== undefined) return;
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

  /**
   * Spending is assumed to have continued until the power loss at the rate of the window, or of its
   * last second if that was higher. A store that runs has received it instead.
   */
  private addUnpersisted(windowSpent: SpendingBySecond, at: MonotonicMilliseconds): void {
    Object.entries(windowSpent).forEach(([workspace, amounts]) => {
      const mean = amounts.reduce((sum, amount) => sum + amount, 0) / Math.max(1, amounts.length);
      const perSecond = Math.max(mean, amounts[0] ?? 0);
      this.history.window.record(workspace, perSecond * UNPERSISTED_SECONDS, at);
    });
  }

  /**
   * Handles a spending report, which is sent between two full reports. It is ignored before the
   * first full report of the peer.
   */
  receiveSpending(report: Omit<SpendingReport, 'type'>, now: MonotonicMilliseconds): void {
    const { instance, incarnation, spent, leaving, sentAt, recentlySpent = {} } = report;
    const peer = this.peers.get(instance);
    if (peer === undefined || incarnation < peer.incarnation) return;
    const isSameRun = peer.incarnation === incarnation;
    const previous = isSameRun ? peer.spent : {};
    const clockOffset = updateClockOffset(isSameRun ? peer : undefined, sentAt, now);
    const times = { sentAt: sendingTime(clockOffset, sentAt, now), lastSeenAt: peer.lastSeenAt };
    const updated: Record<string, number> = { ...previous };
    Object.entries(spent).forEach(([workspace, amount]) => {
      const increase = amount - (previous[workspace] ?? 0);
      // Reports that are relayed by two stores can arrive out of order.
      if (increase <= 0) return;
      updated[workspace] = amount;
      this.history.recordIncrease(workspace, increase, recentlySpent[workspace], times);
    });
    this.peers.set(instance, {
      incarnation,
      spent: updated,
      lastSeenAt: now,
      leaving,
      entryCount: peer.entryCount,
      ...describeClock(clockOffset),
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
    // A few unreachable entries are more likely down than partitioned; either way they may spend no
    // more than the fraction that is reserved for them.
    const isSpendingKnown =
      historyLength >= windowMilliseconds &&
      now - this.restoredAt >= windowMilliseconds &&
      !this.peers.summarize(now).areReportsOverdue;
    return limit * fraction + (isSpendingKnown ? tolerated * NORMAL_FRACTION_OF_TOLERANCE : 0);
  }

  /** What this entry may spend unreported: its part of the remaining allowance and tolerance. */
  private unreportedQuota(
    workspace: string,
    { limit, remaining }: { limit: number; remaining: number },
    { tolerated, windowMilliseconds }: Allowance,
    now: number,
  ): number {
    const usual = this.usualFraction(workspace, limit, now);
    const fraction = this.isStarting(now, windowMilliseconds)
      ? Math.min(MAX_STARTUP_FRACTION_OF_ALLOWANCE, usual)
      : usual;
    return Math.max(0, remaining + tolerated * UNREPORTED_FRACTION_OF_TOLERANCE) * fraction;
  }

  /** The part of the remaining allowance that this entry may spend unreported after its start. */
  protected usualFraction(workspace: string, limit: number, now: MonotonicMilliseconds): number {
    const { all, areReportsOverdue } = this.peers.summarize(now);
    const sumBefore = (window: SpendingWindow, time: MonotonicMilliseconds) =>
      window.total(workspace) - window.sumSince(workspace, time);
    return quotaFraction({
      entries: all,
      own: sumBefore(this.own.window, now - OWN_SPENDING_AGE_MILLISECONDS),
      known: sumBefore(this.history.window, now - KNOWN_SPENDING_AGE_MILLISECONDS),
      limit,
      areReportsOverdue,
    });
  }

  /**
   * True while this entry may not know what others spend: it has no peers yet, or all entries have
   * started together and not yet reported their first spending.
   */
  private isStarting(now: MonotonicMilliseconds, windowMilliseconds: Milliseconds): boolean {
    if (now - (this.firstCheckedAt ?? now) >= MAX_REPORT_INTERVAL_MILLISECONDS) return false;
    return this.entryCount === 1 || this.historyLength(now) < windowMilliseconds;
  }

  /**
   * Own spending that no store has acknowledged. An entry whose peers are all unreachable has its
   * share of the allowance to itself, so there it does not matter.
   */
  private unacknowledgedSpending(workspace: string, now: MonotonicMilliseconds): number {
    if (this.peers.summarize(now).reachable === 1) return 0;
    return this.own.unacknowledged(workspace);
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
    if (this.isStarting(now, windowMilliseconds)) return this.own.total(workspace);
    const { areReportsOverdue, overdueSince } = this.peers.summarize(now);
    if (!areReportsOverdue || overdueSince === Infinity) return 0;
    return this.own.sumSince(workspace, overdueSince);
  }

  /**
   * The fraction of the allowance that is not reserved for unreachable peers. Without it, each side
   * of a network partition would spend the whole allowance.
   */
  protected reachableFraction(now: MonotonicMilliseconds): number {
    const { all, reachable } = this.peers.summarize(now);
    return reachable / all;
  }

  private ageOfOldestReport(now: MonotonicMilliseconds): Pick<SpendingFacts, 'oldestReport'> {
    const { oldestSeenAt } = this.peers.summarize(now);
    return oldestSeenAt === Infinity ? {} : { oldestReport: now - oldestSeenAt };
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
    const expiresAt = this.history.window.findExpiryTime(workspace, excess, windowMilliseconds);
    return Math.max(0, (expiresAt ?? now) - now);
  }
}

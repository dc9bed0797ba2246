/**
 * Holds what a workspace may spend over all entries together: in any window a rate times its length,
 * and a burst on top. Every entry keeps the spending of the last window: its own exactly, and that of
 * the others as they tell it, once a second.
 *
 * What an entry has spent and not told yet is unknown to the others. So it tells it at once when it
 * comes near the entry's equal part of what the known spending leaves, the operators' tolerance
 * included: all parts together never pass limit and tolerance, and nobody who is within the limit is
 * refused. That is one small message for each request that is let through, and only while a workspace
 * is near its limit.
 *
 * An entry that has not heard others for a while has to take it that they do not hear it either. What
 * it has spent since is hidden, however often it was told, and is held to the entry's part. After some
 * seconds it leaves those others their equal part of the limit itself. Without that, each side of a
 * network partition would spend the whole.
 *
 * After a loss of power entries know of the window what a store has kept of it. Where that is nothing,
 * the window is taken to have been spent evenly, and only the rate and a part of the tolerance, or the burst while that is more, are let
 * through until a whole window is known again: it would otherwise be spent twice, before the fault
 * and after it.
 */
import type {
  Allowance,
  EntryReport,
  EpochMilliseconds,
  Milliseconds,
  MonotonicMilliseconds,
  RememberedSpending,
  SpendingReport,
  WindowSpending,
} from '@hornbeampond/schema';
import { SLICE_MILLISECONDS, SpendingWindow } from './SpendingWindow.js';

/** A peer that has missed three reports may be spending without being heard. */
const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 3000;

/** A peer that was not heard for so long is gone. */
const PEER_EXPIRY_MILLISECONDS: Milliseconds = 60_000;

const MILLISECONDS_PER_SECOND = 1000;

/** Of a second: stores write four times in it, and entries report once, one after the other. */
const UNPERSISTED_SECONDS = 0.4;

/** All entries may be down together for so long; a memory that is older says nothing of the gap. */
const MAX_OUTAGE_MILLISECONDS: Milliseconds = 5000;

/** Every entry in touch is heard at least so often. */
const MAX_REPORT_INTERVAL_MILLISECONDS: Milliseconds = 1200;

/** An entry that has just started takes so much of the room at most: it cannot count the others. */
const MAX_STARTUP_FRACTION_OF_ALLOWANCE = 0.1;

/** Part of the tolerance that entries may spend unheard of each other, all together. */
const UNREPORTED_FRACTION_OF_TOLERANCE = 0.3;

/**
 * Part of the tolerance that is spent knowingly while every entry hears every other: callers are
 * served by it that would be refused, and the rest is for what an entry learns too late of.
 */
const NORMAL_FRACTION_OF_TOLERANCE = 0.3;

/** The same while it is not known what was spent before. */
const RECOVERY_FRACTION_OF_TOLERANCE = 0.25;

/** Untold spending is told at once beyond this share of the entry's part. */
const IMMEDIATE_REPORT_FRACTION_OF_QUOTA = 0.5;

interface Peer {
  readonly incarnation: number;
  readonly spent: Readonly<Record<string, number>>;
  readonly lastSeenAt: MonotonicMilliseconds;
  /** True once it has said that it stops: its silence then leaves it no part. */
  readonly leaving: boolean;
  /** How many entries it counts. */
  readonly entryCount: number;
}

/** What an answer of the ledger was decided by. */
export interface SpendingFacts {
  /** The window is spent, or this entry's part of what is left of it. */
  readonly bound: 'window' | 'part';
  readonly amount: number;
  /** What may be spent in a window now, and what is known to be, by all entries. */
  readonly limit: number;
  readonly known: number;
  /** What this entry may spend without the others knowing it, and what it may have. */
  readonly part: number;
  readonly hidden: number;
  readonly entries: number;
  /** How long ago the peer that was silent longest was heard; undefined without peers. */
  readonly oldestReport?: Milliseconds;
}

/** Whether a request may be run, and if not, when to come back. */
export type AllowanceDecision =
  | { readonly type: 'allowed' }
  | {
      readonly type: 'exceeded';
      readonly retryAfterMilliseconds: Milliseconds;
      readonly facts: SpendingFacts;
    };

export class AllowanceLimiter {
  /** Spending of all entries, as far as it is known here. */
  private readonly totalSpending = new SpendingWindow();

  /** The part of it that is this entry's own. */
  private readonly ownSpending = new SpendingWindow();

  private readonly peers = new Map<string, Peer>();

  /** By workspace, since the process started. */
  private readonly ownTotals: Record<string, number> = {};

  /** Of these, what the others were told. */
  private readonly reportedTotals: Record<string, number> = {};

  /** Length of the window by workspace, as it was asked with last. */
  private readonly windowLengths = new Map<string, Milliseconds>();

  /** Since when all spending is known here, by this entry or by those that told it. */
  private historyStartedAt: MonotonicMilliseconds | undefined;

  /** When this entry was first asked for anything of an allowance. */
  private firstCheckedAt: MonotonicMilliseconds | undefined;

  /** What each workspace has spent here since the process started; it counts as told from now on. */
  reportTotals(): Readonly<Record<string, number>> {
    Object.assign(this.reportedTotals, this.ownTotals);
    return { ...this.ownTotals };
  }

  /** The same of one workspace. */
  reportTotal(workspace: string): Readonly<Record<string, number>> {
    const total = this.ownTotals[workspace] ?? 0;
    this.reportedTotals[workspace] = total;
    return { [workspace]: total };
  }

  /** What each workspace has spent at all entries in its window, as far as it is known here. */
  windowSpent(now: MonotonicMilliseconds): WindowSpending {
    // An entry that has no caller of a workspace knows of its spending all the same.
    const spent = [...this.totalSpending.workspaces].map((workspace) => {
      const windowLength = this.windowLengths.get(workspace) ?? PEER_EXPIRY_MILLISECONDS;
      this.totalSpending.evictBefore(workspace, now - windowLength);
      return [workspace, this.totalSpending.sumBySecond(workspace, now)] as const;
    });
    return Object.fromEntries(spent.filter(([, amounts]) => amounts.length > 0));
  }

  /** How many entries this one has heard lately, itself included. */
  get entryCount(): number {
    return this.peers.size + 1;
  }

  /** How far back spending is known here. */
  historyLength(now: MonotonicMilliseconds): Milliseconds {
    this.historyStartedAt ??= now;
    return now - this.historyStartedAt;
  }

  /** Asks whether `amount` may be spent now; nothing is spent by asking. */
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
    const unconfirmed = this.unconfirmedSpending(workspace, windowMilliseconds, now);
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
    // A request above the whole allowance could never run; it may while nothing else has.
    const excess = spent + Math.min(amount, limit) - limit;
    if (excess > 0) {
      const retryAfterMilliseconds = this.calculateRetryDelay(
        workspace,
        allowance,
        { known: spent, amount, excess },
        now,
      );
      return { type: 'exceeded', retryAfterMilliseconds, facts: { bound: 'window', ...facts } };
    }
    // What can be told is told at once; one request is let through before that, however large.
    if (unconfirmed === 0 || unconfirmed + amount <= quota) return { type: 'allowed' };
    const retryAfterMilliseconds = MAX_REPORT_INTERVAL_MILLISECONDS;
    return { type: 'exceeded', retryAfterMilliseconds, facts: { bound: 'part', ...facts } };
  }

  /** Spends; returns true if the others have to be told at once. */
  spend(
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

  /** Takes in what another entry has spent since its last report. */
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
   * Takes in what a store has kept of the window.
   *
   * @param ownInstance - The name of this entry, whose earlier lives the store may know.
   */
  restore(
    { at, windowSpent, windowReach, entries }: RememberedSpending,
    ownInstance: string,
    now: MonotonicMilliseconds,
    wallNow: EpochMilliseconds,
  ): void {
    const age = Math.max(0, wallNow - at);
    // Of what was spent since then nothing is known, unless that was while all were down.
    const historyLength = age <= MAX_OUTAGE_MILLISECONDS ? windowReach : -age;
    this.mergeWindow(windowSpent, historyLength, now - age);
    // What was spent between the last write and the loss of power is taken to be as much as before.
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

  /** The same between two reports; of a peer that is not known its whole report is awaited. */
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
      // Reports that come through two stores may overtake each other.
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
   * Takes over what the window held already at some moment. Without it, the entries that are started
   * again after half of them were killed would each find an unspent window.
   */
  private mergeWindow(
    windowSpent: WindowSpending,
    historyLength: Milliseconds,
    at: MonotonicMilliseconds,
  ): void {
    this.historyStartedAt = Math.min(this.historyStartedAt ?? at, at - historyLength);
    Object.entries(windowSpent).forEach(([workspace, amounts]) => {
      const knownTotal = this.totalSpending.sumSince(workspace, Number.NEGATIVE_INFINITY);
      const reportedTotal = amounts.reduce((sum, amount) => sum + amount, 0);
      let missing = Math.max(0, reportedTotal - knownTotal);
      // What is not known here yet is the newest of it.
      amounts.forEach((amount, second) => {
        const added = Math.min(missing, amount);
        missing -= added;
        this.totalSpending.recordAt(workspace, added, at - second * MILLISECONDS_PER_SECOND);
      });
    });
  }

  /** What may be spent in a window of which only the last part may be known. */
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
    const isExact =
      fraction === 1 && historyLength >= windowMilliseconds && !this.isAnyReportOverdue(now);
    return limit * fraction + (isExact ? tolerated * NORMAL_FRACTION_OF_TOLERANCE : 0);
  }

  /** What this entry may leave untold of the room that is left. */
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
   * True while an entry may know nothing of what others spend: it has heard none, or all of them
   * have started with it and have yet to tell what they let through in their first round.
   */
  private isStarting(now: MonotonicMilliseconds, windowMilliseconds: Milliseconds): boolean {
    if (now - (this.firstCheckedAt ?? now) >= MAX_REPORT_INTERVAL_MILLISECONDS) return false;
    return this.peers.size === 0 || this.historyLength(now) < windowMilliseconds;
  }

  private unreportedTotal(workspace: string): number {
    return (this.ownTotals[workspace] ?? 0) - (this.reportedTotals[workspace] ?? 0);
  }

  /** Own spending that cannot be told for now, or was told to peers that may not have heard it. */
  private unconfirmedSpending(
    workspace: string,
    windowMilliseconds: Milliseconds,
    now: MonotonicMilliseconds,
  ): number {
    if (this.isStarting(now, windowMilliseconds)) return this.ownTotals[workspace] ?? 0;
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
   * All entries, and those that are heard. One that starts during a partition hears of those beyond it
   * only from peers that knew them before.
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

  /** The part of the allowance that is not left to entries that have fallen silent. */
  protected reachableFraction(now: MonotonicMilliseconds): number {
    this.peers.forEach(({ lastSeenAt, leaving }, instance) => {
      const sinceLastSeen = now - lastSeenAt;
      const hasLeft = leaving && sinceLastSeen >= PEER_TIMEOUT_MILLISECONDS;
      if (hasLeft || sinceLastSeen >= PEER_EXPIRY_MILLISECONDS) this.peers.delete(instance);
    });
    const { all, reachable } = this.countEntries(now);
    return reachable / all;
  }

  /** True while a peer that is not silent yet has not been heard as it should. */
  private isAnyReportOverdue(now: MonotonicMilliseconds): boolean {
    return [...this.peers.values()].some(
      ({ lastSeenAt }) => now - lastSeenAt > MAX_REPORT_INTERVAL_MILLISECONDS,
    );
  }

  private ageOfOldestReport(now: MonotonicMilliseconds): Pick<SpendingFacts, 'oldestReport'> {
    if (this.peers.size === 0) return {};
    const lastSeenAt = Math.min(...[...this.peers.values()].map((peer) => peer.lastSeenAt));
    return { oldestReport: now - lastSeenAt };
  }

  /** How long until so much has left the window. */
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

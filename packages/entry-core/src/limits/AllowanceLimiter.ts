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
const SILENT_MILLISECONDS: Milliseconds = 3000;

/** A peer that was not heard for so long is gone. */
const FORGOTTEN_MILLISECONDS: Milliseconds = 60_000;

const MILLISECONDS_PER_SECOND = 1000;

/** Of a second: stores write four times in it, and entries report once, one after the other. */
const UNWRITTEN_SHARE = 0.4;

/** All entries may be down together for so long; a memory that is older says nothing of the gap. */
const LONGEST_OUTAGE_MILLISECONDS: Milliseconds = 5000;

/** Every entry in touch is heard at least so often. */
const ROUND_MILLISECONDS: Milliseconds = 1200;

/** An entry that has just started takes so much of the room at most: it cannot count the others. */
const STARTING_SHARE = 0.1;

/** Part of the tolerance that entries may spend unheard of each other, all together. */
const TOLERANCE_SHARE = 0.3;

/**
 * Part of the tolerance that is spent knowingly while every entry hears every other: callers are
 * served by it that would be refused, and the rest is for what an entry learns too late of.
 */
const KNOWING_SHARE = 0.3;

/** The same while it is not known what was spent before. */
const UNKNOWN_TOLERANCE_SHARE = 0.25;

/** Untold spending is told at once beyond this share of the entry's part. */
const TELLING_SHARE = 0.5;

interface Peer {
  readonly incarnation: number;
  readonly spent: Readonly<Record<string, number>>;
  readonly heardAt: MonotonicMilliseconds;
  /** True once it has said that it stops: its silence then leaves it no part. */
  readonly leaving: boolean;
  /** How many entries it counts. */
  readonly entries: number;
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
  private readonly all = new SpendingWindow();

  /** The part of it that is this entry's own. */
  private readonly own = new SpendingWindow();

  private readonly peers = new Map<string, Peer>();

  /** By workspace, since the process started. */
  private readonly ownTotals: Record<string, number> = {};

  /** Of these, what the others were told. */
  private readonly told: Record<string, number> = {};

  /** Length of the window by workspace, as it was asked with last. */
  private readonly windows = new Map<string, Milliseconds>();

  /** Since when all spending is known here, by this entry or by those that told it. */
  private knownSince: MonotonicMilliseconds | undefined;

  /** When this entry was first asked for anything of an allowance. */
  private startedAt: MonotonicMilliseconds | undefined;

  /** What each workspace has spent here since the process started; it counts as told from now on. */
  reportTotals(): Readonly<Record<string, number>> {
    Object.assign(this.told, this.ownTotals);
    return { ...this.ownTotals };
  }

  /** The same of one workspace. */
  reportTotal(workspace: string): Readonly<Record<string, number>> {
    const total = this.ownTotals[workspace] ?? 0;
    this.told[workspace] = total;
    return { [workspace]: total };
  }

  /** What each workspace has spent at all entries in its window, as far as it is known here. */
  windowSpent(now: MonotonicMilliseconds): WindowSpending {
    // An entry that has no caller of a workspace knows of its spending all the same.
    const spent = [...this.all.workspaces].map((workspace) => {
      const length = this.windows.get(workspace) ?? FORGOTTEN_MILLISECONDS;
      this.all.evictBefore(workspace, now - length);
      return [workspace, this.all.sumBySecond(workspace, now)] as const;
    });
    return Object.fromEntries(spent.filter(([, amounts]) => amounts.length > 0));
  }

  /** How many entries this one has heard lately, itself included. */
  get entryCount(): number {
    return this.peers.size + 1;
  }

  /** How far back spending is known here. */
  historyLength(now: MonotonicMilliseconds): Milliseconds {
    this.knownSince ??= now;
    return now - this.knownSince;
  }

  /** Asks whether `amount` may be spent now; nothing is spent by asking. */
  check(
    workspace: string,
    allowance: Allowance,
    amount: number,
    now: MonotonicMilliseconds,
  ): AllowanceDecision {
    const { windowMilliseconds } = allowance;
    this.startedAt ??= now;
    this.windows.set(workspace, windowMilliseconds);
    [this.all, this.own].forEach((spending) =>
      spending.evictBefore(workspace, now - windowMilliseconds),
    );
    const limit = this.limitNow(allowance, now);
    const known = this.all.sumSince(workspace, now - windowMilliseconds);
    const hidden = this.hidden(workspace, windowMilliseconds, now);
    const part = this.partOf(limit - known + hidden, allowance, now);
    const entries = this.countEntries(now).all;
    const facts = { amount, limit, known, part, hidden, entries, ...this.oldestReport(now) };
    // A request above the whole allowance could never run; it may while nothing else has.
    const excess = known + Math.min(amount, limit) - limit;
    if (excess > 0) {
      const retryAfterMilliseconds = this.waitFor(
        workspace,
        allowance,
        { known, amount, excess },
        now,
      );
      return { type: 'exceeded', retryAfterMilliseconds, facts: { bound: 'window', ...facts } };
    }
    // What can be told is told at once; one request is let through before that, however large.
    if (hidden === 0 || hidden + amount <= part) return { type: 'allowed' };
    const retryAfterMilliseconds = ROUND_MILLISECONDS;
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
    this.all.record(workspace, amount, now);
    this.own.record(workspace, amount, now);
    const { windowMilliseconds } = allowance;
    const known = this.all.sumSince(workspace, now - windowMilliseconds);
    const untold = this.untoldTotal(workspace);
    const part = this.partOf(this.limitNow(allowance, now) - known + untold, allowance, now);
    return this.peers.size > 0 && untold > part * TELLING_SHARE;
  }

  /** Takes in what another entry has spent since its last report. */
  receive(report: EntryReport, now: MonotonicMilliseconds): void {
    const { instance, incarnation, spent = {}, leaving, entries = 1 } = report;
    const known = this.peers.get(instance);
    if (known !== undefined) {
      this.peers.set(instance, { ...known, entries });
      this.receiveSpending({ instance, incarnation, spent, leaving }, now);
      return;
    }
    this.peers.set(instance, { incarnation, spent, heardAt: now, leaving, entries });
    const { windowSpent = {}, windowReach = 0 } = report;
    this.takeWindow(windowSpent, windowReach, now);
  }

  /**
   * Takes in what a store has kept of the window.
   *
   * @param self - The name of this entry, whose earlier lives the store may know.
   */
  restore(
    { at, windowSpent, windowReach, entries }: RememberedSpending,
    self: string,
    now: MonotonicMilliseconds,
    wallNow: EpochMilliseconds,
  ): void {
    const age = Math.max(0, wallNow - at);
    // Of what was spent since then nothing is known, unless that was while all were down.
    const reach = age <= LONGEST_OUTAGE_MILLISECONDS ? windowReach : -age;
    this.takeWindow(windowSpent, reach, now - age);
    // What was spent between the last write and the loss of power is taken to be as much as before.
    Object.entries(windowSpent).forEach(([workspace, [lately = 0]]) => {
      this.all.recordAt(workspace, lately * UNWRITTEN_SHARE, now - age);
    });
    Object.entries(entries).forEach(([instance, { incarnation, spent }]) => {
      if (instance === self || this.peers.has(instance)) return;
      const heardAt = now - age;
      this.peers.set(instance, { incarnation, spent, heardAt, leaving: false, entries: 1 });
    });
  }

  /** The same between two reports; of a peer that is not known its whole report is awaited. */
  receiveSpending(
    { instance, incarnation, spent, leaving }: Omit<SpendingReport, 'type'>,
    now: MonotonicMilliseconds,
  ): void {
    const known = this.peers.get(instance);
    if (known === undefined || incarnation < known.incarnation) return;
    const before = known.incarnation === incarnation ? known.spent : {};
    const after: Record<string, number> = { ...before };
    Object.entries(spent).forEach(([workspace, amount]) => {
      const more = amount - (before[workspace] ?? 0);
      // Reports that come through two stores may overtake each other.
      if (more <= 0) return;
      after[workspace] = amount;
      this.all.record(workspace, more, now);
    });
    const { entries } = known;
    this.peers.set(instance, { incarnation, spent: after, heardAt: now, leaving, entries });
  }

  /**
   * Takes over what the window held already at some moment. Without it, the entries that are started
   * again after half of them were killed would each find an unspent window.
   */
  private takeWindow(
    windowSpent: WindowSpending,
    reach: Milliseconds,
    at: MonotonicMilliseconds,
  ): void {
    this.knownSince = Math.min(this.knownSince ?? at, at - reach);
    Object.entries(windowSpent).forEach(([workspace, amounts]) => {
      const known = this.all.sumSince(workspace, Number.NEGATIVE_INFINITY);
      const told = amounts.reduce((sum, amount) => sum + amount, 0);
      let missing = Math.max(0, told - known);
      // What is not known here yet is the newest of it.
      amounts.forEach((amount, second) => {
        const taken = Math.min(missing, amount);
        missing -= taken;
        this.all.recordAt(workspace, taken, at - second * MILLISECONDS_PER_SECOND);
      });
    });
  }

  /** What may be spent in a window of which only the last part may be known. */
  private limitNow(allowance: Allowance, now: MonotonicMilliseconds): number {
    const { perSecond, burst, windowMilliseconds, tolerated } = allowance;
    const reach = this.historyLength(now);
    const known = (perSecond * Math.min(reach, windowMilliseconds)) / MILLISECONDS_PER_SECOND;
    const whole = (perSecond * windowMilliseconds) / MILLISECONDS_PER_SECOND + burst;
    const spare = Math.max(burst, known + tolerated * UNKNOWN_TOLERANCE_SHARE);
    const limit = reach < windowMilliseconds ? Math.min(whole, spare) : whole;
    const share = this.reachableFraction(now);
    const isExact = share === 1 && reach >= windowMilliseconds && !this.isAnyOverdue(now);
    return limit * share + (isExact ? tolerated * KNOWING_SHARE : 0);
  }

  /** What this entry may leave untold of the room that is left. */
  private partOf(room: number, { tolerated, windowMilliseconds }: Allowance, now: number): number {
    const equal = 1 / this.countEntries(now).all;
    const share = this.isStarting(now, windowMilliseconds)
      ? Math.min(STARTING_SHARE, equal)
      : equal;
    return Math.max(0, room + tolerated * TOLERANCE_SHARE) * share;
  }

  /**
   * True while an entry may know nothing of what others spend: it has heard none, or all of them
   * have started with it and have yet to tell what they let through in their first round.
   */
  private isStarting(now: MonotonicMilliseconds, windowMilliseconds: Milliseconds): boolean {
    if (now - (this.startedAt ?? now) >= ROUND_MILLISECONDS) return false;
    return this.peers.size === 0 || this.historyLength(now) < windowMilliseconds;
  }

  private untoldTotal(workspace: string): number {
    return (this.ownTotals[workspace] ?? 0) - (this.told[workspace] ?? 0);
  }

  /** Own spending that cannot be told for now, or was told to peers that may not have heard it. */
  private hidden(
    workspace: string,
    windowMilliseconds: Milliseconds,
    now: MonotonicMilliseconds,
  ): number {
    if (this.isStarting(now, windowMilliseconds)) return this.ownTotals[workspace] ?? 0;
    let quietSince = now;
    this.peers.forEach(({ heardAt }) => {
      const silence = now - heardAt;
      if (silence > ROUND_MILLISECONDS && silence < SILENT_MILLISECONDS) {
        quietSince = Math.min(quietSince, heardAt);
      }
    });
    return quietSince < now ? this.own.sumSince(workspace, quietSince) : 0;
  }

  /**
   * All entries, and those that are heard. One that starts during a partition hears of those beyond it
   * only from peers that knew them before.
   */
  private countEntries(now: MonotonicMilliseconds): { all: number; heard: number } {
    let heard = 1;
    let all = this.entryCount;
    this.peers.forEach(({ heardAt, entries }) => {
      if (now - heardAt >= SILENT_MILLISECONDS) return;
      heard += 1;
      all = Math.max(all, entries);
    });
    return { all, heard };
  }

  /** The part of the allowance that is not left to entries that have fallen silent. */
  protected reachableFraction(now: MonotonicMilliseconds): number {
    this.peers.forEach(({ heardAt, leaving }, instance) => {
      const silence = now - heardAt;
      const isGone = leaving && silence >= SILENT_MILLISECONDS;
      if (isGone || silence >= FORGOTTEN_MILLISECONDS) this.peers.delete(instance);
    });
    const { all, heard } = this.countEntries(now);
    return heard / all;
  }

  /** True while a peer that is not silent yet has not been heard as it should. */
  private isAnyOverdue(now: MonotonicMilliseconds): boolean {
    return [...this.peers.values()].some(({ heardAt }) => now - heardAt > ROUND_MILLISECONDS);
  }

  private oldestReport(now: MonotonicMilliseconds): Pick<SpendingFacts, 'oldestReport'> {
    if (this.peers.size === 0) return {};
    const heardAt = Math.min(...[...this.peers.values()].map((peer) => peer.heardAt));
    return { oldestReport: now - heardAt };
  }

  /** How long until so much has left the window. */
  private waitFor(
    workspace: string,
    { perSecond, windowMilliseconds, tolerated }: Allowance,
    { known, amount, excess }: { known: number; amount: number; excess: number },
    now: MonotonicMilliseconds,
  ): Milliseconds {
    const reach = this.historyLength(now);
    if (reach < windowMilliseconds) {
      const above = known + amount - tolerated * UNKNOWN_TOLERANCE_SHARE;
      const enoughAt = (above / Math.max(1, perSecond)) * MILLISECONDS_PER_SECOND;
      const wait = Math.min(enoughAt, windowMilliseconds) - reach;
      return Math.max(SLICE_MILLISECONDS, wait);
    }
    const freeAt = this.all.findExpiryTime(workspace, excess, windowMilliseconds);
    return Math.max(0, (freeAt ?? now) - now);
  }
}

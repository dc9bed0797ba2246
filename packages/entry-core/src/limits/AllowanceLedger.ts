/**
 * Holds what a workspace may spend over all entries together, without a message per request: in
 * any window a rate times its length, and a burst on top. Every entry keeps the spending of the
 * last window: its own exactly, and that of the others as their reports come.
 *
 * What the others spend between two reports is seen only afterwards. So an entry takes, in the time
 * of a round of reports, no more than its part of the room that is left: the part that it had of
 * the spending so far, half as much again, and a little for one whose callers have just come. All
 * parts together are twice the room at most, and the room is small when it matters.
 *
 * After a loss of power nobody knows what was spent before it. Then the window is taken to have been
 * spent evenly, and only the rate, or the burst while that is more, is let through until a whole
 * window is known again: it would otherwise be spent twice, before the fault and after it. Without
 * the burst the callers that have waited for the restart would be refused.
 *
 * An entry that has not heard some of the others lately leaves them their equal part. Without that,
 * each side of a network partition would spend the whole.
 */
import type {
  Allowance,
  EntryReport,
  Milliseconds,
  MonotonicMilliseconds,
} from '@hornbeampond/schema';

/** A peer that has missed three reports may be spending without being heard. */
const SILENT_MILLISECONDS: Milliseconds = 3000;

/** A peer that was not heard for so long is gone. */
const FORGOTTEN_MILLISECONDS: Milliseconds = 60_000;

/** Spending is kept in slices of this length; a slice counts until it has passed as a whole. */
const SLICE_MILLISECONDS: Milliseconds = 250;

const MILLISECONDS_PER_SECOND = 1000;

/** Within this span each entry's newest spending is unknown to the others. */
const ROUND_MILLISECONDS: Milliseconds = 1200;

/** An entry's callers may become more within a round, relative to those of the others. */
const GROWTH = 1.5;

/** What an entry that has heard no other yet may spend of a window: its rate for about a round. */
const STARTING_SHARE = 0.1;

/** Part of the room that is kept for entries that have spent nothing yet, shared equally. */
const NEWCOMERS_SHARE = 0.5;

interface Slice {
  readonly at: MonotonicMilliseconds;
  amount: number;
}

interface Peer {
  readonly incarnation: number;
  readonly spent: Readonly<Record<string, number>>;
  readonly heardAt: MonotonicMilliseconds;
}

function sumOf(slices: readonly Slice[]): number {
  return slices.reduce((sum, { amount }) => sum + amount, 0);
}

function note(
  slicesByWorkspace: Map<string, Slice[]>,
  workspace: string,
  amount: number,
  now: MonotonicMilliseconds,
): void {
  if (amount === 0) return;
  const slices = slicesByWorkspace.get(workspace) ?? [];
  slicesByWorkspace.set(workspace, slices);
  const last = slices.at(-1);
  if (last !== undefined && now - last.at < SLICE_MILLISECONDS) last.amount += amount;
  else slices.push({ at: now, amount });
}

/** The slices that still count, the others being dropped. */
function slicesSince(
  slicesByWorkspace: ReadonlyMap<string, Slice[]>,
  workspace: string,
  since: MonotonicMilliseconds,
): Slice[] {
  const slices = slicesByWorkspace.get(workspace) ?? [];
  const first = slices.findIndex(({ at }) => at + SLICE_MILLISECONDS > since);
  slices.splice(0, first < 0 ? slices.length : first);
  return slices;
}

/** Whether a request may be run, and if not, when to come back. */
export type Spending =
  | { readonly type: 'allowed' }
  | { readonly type: 'exceeded'; readonly retryAfterMilliseconds: Milliseconds };

export class AllowanceLedger {
  /** Spending of all entries by workspace, oldest first. */
  private readonly slices = new Map<string, Slice[]>();

  /** The part of it that is this entry's own. */
  private readonly ownSlices = new Map<string, Slice[]>();

  private readonly peers = new Map<string, Peer>();

  private readonly own: Record<string, number> = {};

  /** Length of the window by workspace, as it was asked with last. */
  private readonly windows = new Map<string, Milliseconds>();

  /** Since when all spending is known here, by this entry or by those that told it. */
  private knownSince: MonotonicMilliseconds | undefined;

  /** When this entry was first asked for anything of an allowance. */
  private startedAt: MonotonicMilliseconds | undefined;

  /** What each workspace has spent here since the process started. */
  get spent(): Readonly<Record<string, number>> {
    return { ...this.own };
  }

  /** What each workspace has spent at all entries in its window, as far as it is known here. */
  windowSpent(now: MonotonicMilliseconds): Readonly<Record<string, number>> {
    const spent = [...this.windows].map(([workspace, length]) => {
      const slices = slicesSince(this.slices, workspace, now - length);
      return [workspace, sumOf(slices)] as const;
    });
    return Object.fromEntries(spent);
  }

  /** How far back spending is known here. */
  reach(now: MonotonicMilliseconds): Milliseconds {
    this.knownSince ??= now;
    return now - this.knownSince;
  }

  /** What may be spent in a window of which only the last `reach` is known. */
  private mostNow(
    { perSecond, burst, windowMilliseconds }: Allowance,
    reach: Milliseconds,
  ): number {
    const known = (perSecond * Math.min(reach, windowMilliseconds)) / MILLISECONDS_PER_SECOND;
    return reach < windowMilliseconds ? Math.max(burst, known) : burst + known;
  }

  /** Asks whether `amount` may be spent now; nothing is spent by asking. */
  ask(
    workspace: string,
    allowance: Allowance,
    amount: number,
    now: MonotonicMilliseconds,
  ): Spending {
    const { perSecond, windowMilliseconds } = allowance;
    this.startedAt ??= now;
    this.windows.set(workspace, windowMilliseconds);
    const reach = this.reach(now);
    const most = this.mostNow(allowance, reach) * this.ownShare(now);
    const slices = slicesSince(this.slices, workspace, now - windowMilliseconds);
    const spent = sumOf(slices);
    // A request above the whole allowance could never run; it may while nothing else has.
    let excess = spent + Math.min(amount, most) - most;
    if (excess <= 0) {
      const own = slicesSince(this.ownSlices, workspace, now - windowMilliseconds);
      if (this.isStarting(now, windowMilliseconds)) return this.askAtStart(own, most, amount);
      return this.askForRound(own, { spent, most, amount }, now);
    }
    if (reach < windowMilliseconds) {
      const enoughAt = ((spent + amount) / Math.max(1, perSecond)) * MILLISECONDS_PER_SECOND;
      const wait = Math.min(enoughAt, windowMilliseconds) - reach;
      return { type: 'exceeded', retryAfterMilliseconds: Math.max(SLICE_MILLISECONDS, wait) };
    }
    const freeing = slices.find((slice) => {
      excess -= slice.amount;
      return excess <= 0;
    });
    const freeAt = (freeing?.at ?? now) + SLICE_MILLISECONDS + windowMilliseconds;
    return { type: 'exceeded', retryAfterMilliseconds: Math.max(0, freeAt - now) };
  }

  spend(workspace: string, amount: number, now: MonotonicMilliseconds): void {
    this.own[workspace] = (this.own[workspace] ?? 0) + amount;
    note(this.slices, workspace, amount, now);
    note(this.ownSlices, workspace, amount, now);
  }

  /** Takes in what another entry has spent since its last report. */
  receive(report: EntryReport, now: MonotonicMilliseconds): void {
    const { instance, incarnation, spent = {} } = report;
    const known = this.peers.get(instance);
    this.peers.set(instance, { incarnation, spent, heardAt: now });
    if (known === undefined) {
      this.takeWindow(report, now);
      return;
    }
    const before = known.incarnation === incarnation ? known.spent : {};
    Object.entries(spent).forEach(([workspace, amount]) => {
      note(this.slices, workspace, Math.max(0, amount - (before[workspace] ?? 0)), now);
    });
  }

  /**
   * Takes over what the window holds already. Without it, the entries that are started again after
   * half of them were killed would each find an unspent window.
   */
  private takeWindow(
    { windowSpent = {}, windowReach = 0 }: EntryReport,
    now: MonotonicMilliseconds,
  ): void {
    this.knownSince = Math.min(this.knownSince ?? now, now - windowReach);
    Object.entries(windowSpent).forEach(([workspace, amount]) => {
      const known = sumOf(this.slices.get(workspace) ?? []);
      note(this.slices, workspace, Math.max(0, amount - known), now);
    });
  }

  /**
   * True while an entry may know nothing of what others spend: it has heard none, or all of them
   * have started with it and have yet to tell what they let through in their first round.
   */
  private isStarting(now: MonotonicMilliseconds, windowMilliseconds: Milliseconds): boolean {
    if (now - (this.startedAt ?? now) >= ROUND_MILLISECONDS) return false;
    return this.peers.size === 0 || this.reach(now) < windowMilliseconds;
  }

  /** An entry that starts takes little of a window that may be spent already. */
  private askAtStart(own: readonly Slice[], most: number, amount: number): Spending {
    const ownSpent = sumOf(own);
    const share = Math.min(STARTING_SHARE, 1 / (this.peers.size + 1));
    if (ownSpent === 0 || ownSpent + amount <= most * share) return { type: 'allowed' };
    return { type: 'exceeded', retryAfterMilliseconds: ROUND_MILLISECONDS };
  }

  /** Holds this entry to its part of what was left when the round began. */
  private askForRound(
    own: readonly Slice[],
    { spent, most, amount }: { spent: number; most: number; amount: number },
    now: MonotonicMilliseconds,
  ): Spending {
    const entries = this.peers.size + 1;
    if (spent === 0 || entries === 1) return { type: 'allowed' };
    const ownSpent = sumOf(own);
    const inRound = sumOf(own.filter(({ at }) => at > now - ROUND_MILLISECONDS));
    const share = (ownSpent / spent) * GROWTH + NEWCOMERS_SHARE / entries;
    const room = (most - (spent - inRound)) * Math.min(1, Math.max(share, 1 / entries));
    // One request is always let through in a round, however small the part.
    if (inRound === 0 || inRound + amount <= room) return { type: 'allowed' };
    return { type: 'exceeded', retryAfterMilliseconds: ROUND_MILLISECONDS };
  }

  /** The part of the allowance that is not left to peers that have fallen silent. */
  private ownShare(now: MonotonicMilliseconds): number {
    let silent = 0;
    this.peers.forEach(({ heardAt }, instance) => {
      const silence = now - heardAt;
      if (silence >= FORGOTTEN_MILLISECONDS) this.peers.delete(instance);
      else if (silence >= SILENT_MILLISECONDS) silent += 1;
    });
    return 1 - silent / (this.peers.size + 1);
  }
}

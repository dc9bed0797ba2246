/**
 * Holds what a workspace may spend over all entries together, without a message per request: in
 * any window a rate times its length, and a burst on top. Every entry keeps the spending of the
 * last window: its own exactly, and that of the others as their reports come.
 *
 * What two entries spend between two reports is seen by both only afterwards; the window then
 * holds it against the seconds that follow, so an overshoot is bounded by what arrives between
 * reports. An entry that has not heard some of the others lately leaves them their equal part.
 * Without that, each side of a network partition would spend the whole.
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

interface Slice {
  readonly at: MonotonicMilliseconds;
  amount: number;
}

interface Peer {
  readonly incarnation: number;
  readonly spent: Readonly<Record<string, number>>;
  readonly heardAt: MonotonicMilliseconds;
}

/** Whether a request may be run, and if not, when to come back. */
export type Spending =
  | { readonly type: 'allowed' }
  | { readonly type: 'exceeded'; readonly retryAfterMilliseconds: Milliseconds };

export class AllowanceLedger {
  /** By workspace, oldest first. */
  private readonly slices = new Map<string, Slice[]>();

  private readonly peers = new Map<string, Peer>();

  private readonly own: Record<string, number> = {};

  /** What each workspace has spent here since the process started. */
  get spent(): Readonly<Record<string, number>> {
    return { ...this.own };
  }

  /** Asks whether `amount` may be spent now; nothing is spent by asking. */
  ask(
    workspace: string,
    { perSecond, burst, windowMilliseconds }: Allowance,
    amount: number,
    now: MonotonicMilliseconds,
  ): Spending {
    const seconds = windowMilliseconds / MILLISECONDS_PER_SECOND;
    const most = (perSecond * seconds + burst) * this.ownShare(now);
    const slices = this.slicesOf(workspace, now - windowMilliseconds);
    const spent = slices.reduce((sum, slice) => sum + slice.amount, 0);
    // A request above the whole allowance could never run; it may while nothing else has.
    let excess = spent + Math.min(amount, most) - most;
    if (excess <= 0) return { type: 'allowed' };
    const freeing = slices.find((slice) => {
      excess -= slice.amount;
      return excess <= 0;
    });
    const freeAt = (freeing?.at ?? now) + SLICE_MILLISECONDS + windowMilliseconds;
    return { type: 'exceeded', retryAfterMilliseconds: Math.max(0, freeAt - now) };
  }

  spend(workspace: string, amount: number, now: MonotonicMilliseconds): void {
    this.own[workspace] = (this.own[workspace] ?? 0) + amount;
    this.note(workspace, amount, now);
  }

  /** Takes in what another entry has spent since its last report. */
  receive({ instance, incarnation, spent = {} }: EntryReport, now: MonotonicMilliseconds): void {
    const known = this.peers.get(instance);
    this.peers.set(instance, { incarnation, spent, heardAt: now });
    // Spending of before this entry heard its peer is past.
    if (known === undefined) return;
    const before = known.incarnation === incarnation ? known.spent : {};
    Object.entries(spent).forEach(([workspace, amount]) => {
      this.note(workspace, Math.max(0, amount - (before[workspace] ?? 0)), now);
    });
  }

  private note(workspace: string, amount: number, now: MonotonicMilliseconds): void {
    if (amount === 0) return;
    const slices = this.slices.get(workspace) ?? [];
    this.slices.set(workspace, slices);
    const last = slices.at(-1);
    if (last !== undefined && now - last.at < SLICE_MILLISECONDS) last.amount += amount;
    else slices.push({ at: now, amount });
  }

  /** The slices that still count, the others being dropped. */
  private slicesOf(workspace: string, since: MonotonicMilliseconds): Slice[] {
    const slices = this.slices.get(workspace) ?? [];
    const first = slices.findIndex(({ at }) => at + SLICE_MILLISECONDS > since);
    slices.splice(0, first < 0 ? slices.length : first);
    return slices;
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

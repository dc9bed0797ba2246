/**
 * What workspaces have spent lately, kept in slices of time so that its size does not grow with the
 * number of requests. A slice counts until all of it has left the window: too long rather than too
 * short, by a slice at most.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const MILLISECONDS_PER_SECOND = 1000;

/** Length of a slice. */
export const SLICE_MILLISECONDS: Milliseconds = 250;

interface Slice {
  readonly at: MonotonicMilliseconds;
  amount: number;
}

export class SpendingWindow {
  /** By workspace, oldest first. */
  private readonly slices = new Map<string, Slice[]>();

  get workspaces(): Iterable<string> {
    return this.slices.keys();
  }

  record(workspace: string, amount: number, now: MonotonicMilliseconds): void {
    if (amount === 0) return;
    const slices = this.slices.get(workspace) ?? [];
    this.slices.set(workspace, slices);
    const last = slices.at(-1);
    if (last !== undefined && now - last.at < SLICE_MILLISECONDS) last.amount += amount;
    else slices.push({ at: now, amount });
  }

  /** Takes in what was spent at a moment that may be past; it counts from the end of that second. */
  recordAt(workspace: string, amount: number, at: MonotonicMilliseconds): void {
    if (amount === 0) return;
    const slices = this.slices.get(workspace) ?? [];
    slices.push({ at, amount });
    slices.sort((a, b) => a.at - b.at);
    this.slices.set(workspace, slices);
  }

  /** What was spent in each second back, as far as anything was. */
  sumBySecond(workspace: string, now: MonotonicMilliseconds): number[] {
    const amounts: number[] = [];
    this.slices.get(workspace)?.forEach(({ at, amount }) => {
      const second = Math.floor(Math.max(0, now - at) / MILLISECONDS_PER_SECOND);
      for (let index = amounts.length; index <= second; index += 1) amounts.push(0);
      amounts[second] = (amounts[second] ?? 0) + amount;
    });
    return amounts;
  }

  /** Forgets what was spent before. */
  evictBefore(workspace: string, since: MonotonicMilliseconds): void {
    const slices = this.slices.get(workspace) ?? [];
    const first = slices.findIndex(({ at }) => at + SLICE_MILLISECONDS > since);
    slices.splice(0, first < 0 ? slices.length : first);
    if (slices.length === 0) this.slices.delete(workspace);
  }

  sumSince(workspace: string, since: MonotonicMilliseconds): number {
    let sum = 0;
    this.slices.get(workspace)?.forEach(({ at, amount }) => {
      if (at + SLICE_MILLISECONDS > since) sum += amount;
    });
    return sum;
  }

  /** When so much of what is kept will have left a window of this length. */
  findExpiryTime(
    workspace: string,
    amount: number,
    window: Milliseconds,
  ): MonotonicMilliseconds | undefined {
    let remaining = amount;
    const lastExpiring = this.slices.get(workspace)?.find((slice) => {
      remaining -= slice.amount;
      return remaining <= 0;
    });
    return lastExpiring === undefined ? undefined : lastExpiring.at + SLICE_MILLISECONDS + window;
  }
}

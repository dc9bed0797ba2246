/**
 * Recent spending of workspaces in slices of time, so that its size does not grow with the number
 * of requests. A slice is counted until its end is outside the window: spending is counted up to
 * one slice too long, but never too short.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const MILLISECONDS_PER_SECOND = 1000;

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

  /**
   * Records past spending. What was spent during a second is recorded at the end of that second, so
   * that it is never evicted too early.
   */
  recordAt(workspace: string, amount: number, at: MonotonicMilliseconds): void {
    if (amount === 0) return;
    const slices = this.slices.get(workspace) ?? [];
    slices.push({ at, amount });
    slices.sort((a, b) => a.at - b.at);
    this.slices.set(workspace, slices);
  }

  /** Spending in each of the last seconds, newest first, up to the oldest second with any. */
  sumBySecond(workspace: string, now: MonotonicMilliseconds): number[] {
    const amounts: number[] = [];
    this.slices.get(workspace)?.forEach(({ at, amount }) => {
      const second = Math.floor(Math.max(0, now - at) / MILLISECONDS_PER_SECOND);
      for (let index = amounts.length; index <= second; index += 1) amounts.push(0);
      amounts[second] = (amounts[second] ?? 0) + amount;
    });
    return amounts;
  }

  /** Removes slices that ended before `since`. */
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

  /**
   * Time from which at least `amount` of the recorded spending is outside a window of this length;
   * undefined if less is recorded.
   */
  findExpiryTime(
    workspace: string,
    amount: number,
    windowLength: Milliseconds,
  ): MonotonicMilliseconds | undefined {
    let remaining = amount;
    const lastExpiring = this.slices.get(workspace)?.find((slice) => {
      remaining -= slice.amount;
      return remaining <= 0;
    });
    return lastExpiring === undefined
      ? undefined
      : lastExpiring.at + SLICE_MILLISECONDS + windowLength;
  }
}

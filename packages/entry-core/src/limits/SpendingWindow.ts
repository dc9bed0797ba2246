/**
 * Recent spending of workspaces in slices of time, so that its size does not grow with the number
 * of requests. A slice is counted until its end is outside the window: spending is counted up to
 * one slice too long, but never too short.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const MILLISECONDS_PER_SECOND = 1000;

/** 250 ms counted 3 % of an 8 s window too long, which alone refused requests at 0.97 of a limit. */
export const SLICE_MILLISECONDS: Milliseconds = 100;

interface Slice {
  /** Number of the slice; it begins at this number times its length. */
  readonly index: number;
  amount: number;
}

interface WorkspaceSlices {
  /** Oldest first. */
  readonly slices: Slice[];
  total: number;
}

function endOf({ index }: Slice): MonotonicMilliseconds {
  return (index + 1) * SLICE_MILLISECONDS;
}

export class SpendingWindow {
  private readonly slicesByWorkspace = new Map<string, WorkspaceSlices>();

  get workspaces(): Iterable<string> {
    return this.slicesByWorkspace.keys();
  }

  /** Records spending; `at` may be in the past. */
  record(workspace: string, amount: number, at: MonotonicMilliseconds): void {
    if (amount === 0) return;
    const known = this.slicesByWorkspace.get(workspace) ?? { slices: [], total: 0 };
    this.slicesByWorkspace.set(workspace, known);
    known.total += amount;
    const index = Math.floor(at / SLICE_MILLISECONDS);
    const { slices } = known;
    const position = slices.findLastIndex((slice) => slice.index <= index);
    const slice = slices[position];
    if (slice?.index === index) slice.amount += amount;
    else slices.splice(position + 1, 0, { index, amount });
  }

  /** Records past spending evenly from one time to another. */
  recordEvenly(
    workspace: string,
    amount: number,
    from: MonotonicMilliseconds,
    to: MonotonicMilliseconds,
  ): void {
    const count = Math.max(1, Math.round((to - from) / SLICE_MILLISECONDS));
    for (let slice = 1; slice <= count; slice += 1) {
      this.record(workspace, amount / count, from + ((slice - 0.5) * (to - from)) / count);
    }
  }

  /** Spending in each of the last seconds, newest first, up to the oldest second with any. */
  sumBySecond(workspace: string, now: MonotonicMilliseconds): number[] {
    const amounts: number[] = [];
    this.slicesByWorkspace.get(workspace)?.slices.forEach((slice) => {
      const age = Math.max(0, now - endOf(slice) + SLICE_MILLISECONDS / 2);
      const second = Math.floor(age / MILLISECONDS_PER_SECOND);
      for (let index = amounts.length; index <= second; index += 1) amounts.push(0);
      amounts[second] = (amounts[second] ?? 0) + slice.amount;
    });
    return amounts;
  }

  /** Spending by age; the ages are ascending, and the last amount includes all that is older. */
  sumByAge(
    workspace: string,
    ages: readonly Milliseconds[],
    now: MonotonicMilliseconds,
  ): readonly number[] {
    const slices = this.slicesByWorkspace.get(workspace)?.slices ?? [];
    const amounts: number[] = [];
    for (let position = slices.length - 1, span = 0; position >= 0; position -= 1) {
      const slice = slices[position];
      if (slice === undefined) return amounts;
      while (now - endOf(slice) >= (ages[span + 1] ?? Infinity)) span += 1;
      while (amounts.length <= span) amounts.push(0);
      amounts[span] = (amounts[span] ?? 0) + slice.amount;
    }
    return amounts;
  }

  /** Removes slices that ended before `since`. */
  evictBefore(workspace: string, since: MonotonicMilliseconds): void {
    const known = this.slicesByWorkspace.get(workspace);
    if (known === undefined) return;
    const first = known.slices.findIndex((slice) => endOf(slice) > since);
    const evicted = known.slices.splice(0, first < 0 ? known.slices.length : first);
    evicted.forEach(({ amount }) => {
      known.total -= amount;
    });
    if (known.slices.length === 0) this.slicesByWorkspace.delete(workspace);
  }

  /** All spending that is not evicted. */
  total(workspace: string): number {
    return this.slicesByWorkspace.get(workspace)?.total ?? 0;
  }

  sumSince(workspace: string, since: MonotonicMilliseconds): number {
    const slices = this.slicesByWorkspace.get(workspace)?.slices ?? [];
    let sum = 0;
    for (let position = slices.length - 1; position >= 0; position -= 1) {
      const slice = slices[position];
      if (slice === undefined || endOf(slice) <= since) return sum;
      sum += slice.amount;
    }
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
    const lastExpiring = this.slicesByWorkspace.get(workspace)?.slices.find((slice) => {
      remaining -= slice.amount;
      return remaining <= 0;
    });
    return lastExpiring === undefined ? undefined : endOf(lastExpiring) + windowLength;
  }
}

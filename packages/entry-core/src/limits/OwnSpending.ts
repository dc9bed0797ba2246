/**
 * Spending of this entry alone: totals since the process started, and how much of them was
 * reported to the other entries and acknowledged by a store.
 */
import {
  RECENT_SPENDING_AGES,
  type Milliseconds,
  type MonotonicMilliseconds,
  type RecentSpending,
} from '@hornbeampond/schema';
import { SpendingWindow } from './SpendingWindow.js';

const MAX_RECENT_AGE: Milliseconds = Math.max(...RECENT_SPENDING_AGES);

export class OwnSpending {
  readonly window = new SpendingWindow();

  /** Spending since the process started, by workspace. */
  private readonly totals: Record<string, number> = {};

  /** `totals` as last reported to the other entries. */
  private readonly reported: Record<string, number> = {};

  /** `totals` as last acknowledged by a store. */
  private readonly acknowledged: Record<string, number> = {};

  /** Until when the times of the spending are reported too, by workspace. */
  private readonly timesReportedUntil = new Map<string, MonotonicMilliseconds>();

  record(workspace: string, amount: number, now: MonotonicMilliseconds): void {
    this.totals[workspace] = this.total(workspace) + amount;
    this.window.record(workspace, amount, now);
  }

  evictBefore(workspace: string, since: MonotonicMilliseconds): void {
    this.window.evictBefore(workspace, since);
  }

  sumSince(workspace: string, since: Milliseconds): number {
    return this.window.sumSince(workspace, since);
  }

  total(workspace: string): number {
    return this.totals[workspace] ?? 0;
  }

  unreported(workspace: string): number {
    return this.total(workspace) - (this.reported[workspace] ?? 0);
  }

  unacknowledged(workspace: string): number {
    return this.total(workspace) - (this.acknowledged[workspace] ?? 0);
  }

  /** Reports when this was spent for as long as the peers may have missed a report of it. */
  reportTimes(workspace: string, now: MonotonicMilliseconds): void {
    this.timesReportedUntil.set(workspace, now + MAX_RECENT_AGE);
  }

  /** What was spent of late by age, of the workspaces whose times are reported, or of one of them. */
  describeRecent(now: MonotonicMilliseconds, only?: string): RecentSpending {
    const recent: Record<string, readonly number[]> = {};
    this.timesReportedUntil.forEach((until, workspace) => {
      if (until <= now) this.timesReportedUntil.delete(workspace);
      else if (only === undefined || only === workspace)
        recent[workspace] = this.window.sumByAge(workspace, RECENT_SPENDING_AGES, now);
    });
    return recent;
  }

  /** Returns the totals of all workspaces and marks them as reported. */
  report(): Readonly<Record<string, number>> {
    Object.assign(this.reported, this.totals);
    return { ...this.totals };
  }

  /** Does the same for one workspace. */
  reportOne(workspace: string): Readonly<Record<string, number>> {
    const total = this.total(workspace);
    this.reported[workspace] = total;
    return { [workspace]: total };
  }

  /** Handles the acknowledgement of reported totals by a store; it may arrive out of order. */
  acknowledge(spent: Readonly<Record<string, number>>): void {
    Object.entries(spent).forEach(([workspace, total]) => {
      this.acknowledged[workspace] = Math.max(this.acknowledged[workspace] ?? 0, total);
    });
  }
}

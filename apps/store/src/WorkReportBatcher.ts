/**
 * Collects the work reports of entries for a short time and sends them to the subscribed entries in
 * one push. With many entries, a push for each report would cost more than the calls it describes.
 * The usage counts of the reports are sent only to subscribers that are not entries.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { EntryUsage, Milliseconds, WorkReport } from '@hornbeampond/schema';
import type { Subscribers } from './Subscribers.js';

const BATCH_DELAY_MILLISECONDS: Milliseconds = 20;

function extractUsage({ instance, incarnation, begun }: WorkReport): EntryUsage[] {
  return begun === undefined ? [] : [{ instance, incarnation, begun }];
}

function withoutUsage({ begun, ...work }: WorkReport): WorkReport {
  return work;
}

export class WorkReportBatcher {
  private pending: WorkReport[] = [];

  private cancelTimer: Unsubscribe = () => {};

  constructor(
    private readonly timers: TimerService,
    private readonly subscribers: Subscribers,
  ) {}

  add(report: WorkReport): void {
    this.pending.push(report);
    if (this.pending.length > 1) return;
    this.cancelTimer = this.timers.after(BATCH_DELAY_MILLISECONDS, () => this.sendBatch());
  }

  close(): void {
    this.cancelTimer();
  }

  private sendBatch(): void {
    const { pending, subscribers } = this;
    this.pending = [];
    subscribers.pushToEntries({ type: 'work', reports: pending.map(withoutUsage) });
    const usage = pending.flatMap(extractUsage);
    if (usage.length > 0) subscribers.pushToNonEntries({ type: 'usage', usage });
  }
}

/**
 * Collects what entries tell of their work for a moment and hands it on together: at fifty entries one
 * frame for each word of each would cost the entries more than the calls that it is about.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { EntryUsage, Milliseconds, WorkReport } from '@hornbeampond/schema';
import type { Subscribers } from './Subscribers.js';

const COLLECTED_MILLISECONDS: Milliseconds = 20;

function usageOf({ instance, incarnation, begun }: WorkReport): EntryUsage[] {
  return begun === undefined ? [] : [{ instance, incarnation, begun }];
}

function withoutUsage({ begun, ...work }: WorkReport): WorkReport {
  return work;
}

export class WorkReportBatcher {
  private collected: WorkReport[] = [];

  private cancel: Unsubscribe = () => {};

  constructor(
    private readonly timers: TimerService,
    private readonly subscribers: Subscribers,
  ) {}

  add(report: WorkReport): void {
    this.collected.push(report);
    if (this.collected.length > 1) return;
    this.cancel = this.timers.after(COLLECTED_MILLISECONDS, () => this.handOn());
  }

  close(): void {
    this.cancel();
  }

  private handOn(): void {
    const { collected, subscribers } = this;
    this.collected = [];
    subscribers.pushToEntries({ type: 'work', reports: collected.map(withoutUsage) });
    const usage = collected.flatMap(usageOf);
    if (usage.length > 0) subscribers.pushToNonEntries({ type: 'usage', usage });
  }
}

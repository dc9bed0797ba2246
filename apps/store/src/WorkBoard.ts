/**
 * Collects what entries tell of their work for a moment and hands it on together: at fifty entries one
 * frame for each word of each would cost the entries more than the calls that it is about.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds, WorkReport } from '@hornbeampond/schema';
import type { Subscribers } from './Subscribers.js';

const COLLECTED_MILLISECONDS: Milliseconds = 20;

export class WorkBoard {
  private collected: WorkReport[] = [];

  private cancel: Unsubscribe = () => {};

  constructor(
    private readonly timers: TimerService,
    private readonly subscribers: Subscribers,
  ) {}

  add(report: WorkReport): void {
    this.collected.push(report);
    if (this.collected.length > 1) return;
    this.cancel = this.timers.after(COLLECTED_MILLISECONDS, () => {
      const reports = this.collected;
      this.collected = [];
      this.subscribers.pushToEntries({ type: 'work', reports });
    });
  }

  close(): void {
    this.cancel();
  }
}

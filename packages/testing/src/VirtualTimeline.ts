/**
 * An event queue in virtual time for simulations with many thousands of events. A binary heap
 * orders events by time and, for equal times, by scheduling.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

interface ScheduledEvent {
  readonly dueAt: MonotonicMilliseconds;
  readonly order: number;
  readonly run: () => void;
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.order < b.order);
}

export class VirtualTimeline {
  now: MonotonicMilliseconds = 0;

  private order = 0;

  private readonly heap: ScheduledEvent[] = [];

  after(delay: Milliseconds, run: () => void): void {
    this.order += 1;
    this.heap.push({ dueAt: this.now + delay, order: this.order, run });
    this.siftUp(this.heap.length - 1);
  }

  /** Calls `run` every `span` indefinitely; the first call is one `span` from now. */
  every(span: Milliseconds, run: () => void): void {
    this.after(span, () => {
      run();
      this.every(span, run);
    });
  }

  /** Runs all events due at or before `end`, then sets the time to `end`. */
  runUntil(end: MonotonicMilliseconds): void {
    for (let [next] = this.heap; next !== undefined && next.dueAt <= end; [next] = this.heap) {
      this.removeFirst();
      this.now = next.dueAt;
      next.run();
    }
    this.now = end;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown();
  }

  private swapIfBefore(child: number, parent: number): boolean {
    const lower = this.heap[child];
    const upper = this.heap[parent];
    if (lower === undefined || upper === undefined || !isBefore(lower, upper)) return false;
    this.heap[child] = upper;
    this.heap[parent] = lower;
    return true;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.swapIfBefore(index, parent)) return;
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const [a, b] = [this.heap[left], this.heap[left + 1]];
      const child = a !== undefined && b !== undefined && isBefore(b, a) ? left + 1 : left;
      if (!this.swapIfBefore(child, index)) return;
      index = child;
    }
  }
}

/**
 * Shares the time of the event loop between the input of all connections. Bodies in small chunks and heads of
 * many lines take far more time than their bytes say, and a connection that is closed to make room keeps its
 * memory until the event loop goes on: what one turn of it parses is limited.
 */
import type { TimerService } from '@hornbeampond/runtime';
import type { Milliseconds } from '@hornbeampond/schema';

/** Time for parsing in each turn of the event loop; other work goes on between the turns. */
const TURN_MILLISECONDS: Milliseconds = 10;

/** A connection with input that waits to be parsed. */
export interface TurnTaker {
  /** Parses one piece; asks for another turn if there is more. */
  takeTurn(): void;
}

export class InputTurns {
  /** In the order in which they came. */
  private readonly waiting = new Set<TurnTaker>();

  private spentMilliseconds: Milliseconds = 0;

  private isScheduled = false;

  constructor(private readonly timers: TimerService) {}

  /** False once the time of this turn is spent, or others wait. */
  get hasTime(): boolean {
    return this.waiting.size === 0 && !this.isSpent;
  }

  /** Counts the time that parsing takes. */
  measure(parse: () => void): void {
    const startedAt = this.timers.monotonicNow();
    parse();
    this.spentMilliseconds += this.timers.monotonicNow() - startedAt;
    this.schedule();
  }

  /** Calls `taker` once, after those that wait already. */
  await(taker: TurnTaker): void {
    this.waiting.add(taker);
    this.schedule();
  }

  leave(taker: TurnTaker): void {
    this.waiting.delete(taker);
  }

  private get isSpent(): boolean {
    return this.spentMilliseconds >= TURN_MILLISECONDS;
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.begin());
  }

  private begin(): void {
    this.isScheduled = false;
    this.spentMilliseconds = 0;
    for (const taker of this.waiting) {
      if (this.isSpent) break;
      // One that asks for another turn is visited again, after all others.
      this.waiting.delete(taker);
      taker.takeTurn();
    }
    if (this.waiting.size > 0) this.schedule();
  }
}

/**
 * Estimates since when input may have been waiting. A process that is short of processor time reads
 * requests late; if their arrival were taken to be the moment at which they are read, they would be
 * given time that their callers do not have.
 *
 * Input that is read now arrived after the event loop last looked for input. The loop looks at least
 * once between two ticks, and whenever it is idle.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

interface Mark {
  readonly at: MonotonicMilliseconds;
  /** Time that the event loop had been idle until then. */
  readonly idle: Milliseconds;
}

export class InputClock {
  private previous: Mark;

  private latest: Mark;

  /**
   * @param readNow - The monotonic clock.
   * @param readIdle - How long the event loop has been idle since the process started.
   */
  constructor(
    private readonly readNow: () => MonotonicMilliseconds,
    private readonly readIdle: () => Milliseconds,
  ) {
    this.latest = this.mark();
    this.previous = this.latest;
  }

  /** Called with each tick. */
  recordTick(): void {
    this.previous = this.latest;
    this.latest = this.mark();
  }

  /** The longest time that input which is read now may have waited. */
  estimateDelay(): Milliseconds {
    const now = this.mark();
    const hasBeenIdle = now.idle > this.latest.idle;
    const since = hasBeenIdle ? this.latest : this.previous;
    return Math.max(0, now.at - since.at - (now.idle - since.idle));
  }

  private mark(): Mark {
    return { at: this.readNow(), idle: this.readIdle() };
  }
}

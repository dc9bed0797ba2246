/**
 * Measures the input of a connection that belongs to no request yet: a head that is not finished, and the
 * empty lines before it, which Node's parser skips without counting them.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { estimateHeadHeap } from './heldCosts.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

export class HeadMeter {
  bytes = 0;

  lines = 0;

  /** When the first of the bytes came; undefined if there are none. */
  startedAt: MonotonicMilliseconds | undefined;

  /** True while there are only empty lines. */
  isBlank = true;

  get heap(): number {
    return estimateHeadHeap(this.bytes, this.lines);
  }

  /** Counts the bytes of input before it is parsed. */
  add(input: Buffer, now: MonotonicMilliseconds): void {
    this.startedAt ??= now;
    this.bytes += input.length;
  }

  /** Counts the lines of input that has been parsed and did not finish the head; most heads come at once. */
  addLines(input: Buffer): void {
    for (let at = 0; at < input.length; at += 1) {
      const byte = input[at];
      if (byte === LINE_FEED) this.lines += 1;
      else if (byte !== CARRIAGE_RETURN) this.isBlank = false;
    }
  }

  /** Gives a head that had to wait its time anew. */
  restart(now: MonotonicMilliseconds): void {
    if (this.startedAt !== undefined) this.startedAt = now;
  }

  /** Starts again after a request. */
  reset(): void {
    this.bytes = 0;
    this.lines = 0;
    this.startedAt = undefined;
    this.isBlank = true;
  }
}

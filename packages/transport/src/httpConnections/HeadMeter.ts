/**
 * Measures the input of a connection that belongs to no request yet: a head that is not finished, and the
 * empty lines before it, which Node's parser skips without counting them.
 */
import { estimateHeadHeap } from './heldCosts.js';

const LINE_FEED = 0x0a;

export class HeadMeter {
  bytes = 0;

  lines = 0;

  get heap(): number {
    return estimateHeadHeap(this.bytes, this.lines);
  }

  add(input: Buffer): void {
    this.bytes += input.length;
    for (let at = 0; at < input.length; at += 1) {
      if (input[at] === LINE_FEED) this.lines += 1;
    }
  }

  /** Starts again after a request. */
  reset(): void {
    this.bytes = 0;
    this.lines = 0;
  }
}

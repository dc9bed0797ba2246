/**
 * Counts the requests that arrive on each route, refused ones too: they are demand that the fleet
 * was too small for. Controllers read the rate over the last seconds.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

const MILLISECONDS_PER_SECOND = 1000;

/** Whole seconds that the rate is taken over. */
const WINDOW_SECONDS = 10;

interface RouteCount {
  /** Arrivals by second, modulo the window and the second that is being counted. */
  readonly bySecond: number[];
  second: number;
}

export class DemandMeter {
  private readonly counts = new Map<string, RouteCount>();

  note(route: string, now: MonotonicMilliseconds): void {
    const count = this.advance(route, now);
    const slot = count.second % count.bySecond.length;
    count.bySecond[slot] = (count.bySecond[slot] ?? 0) + 1;
  }

  /** Requests a second by route, over the whole seconds of the window. */
  read(now: MonotonicMilliseconds): ReadonlyMap<string, number> {
    const rates = new Map<string, number>();
    this.counts.forEach((_, route) => {
      const { bySecond, second } = this.advance(route, now);
      const current = bySecond[second % bySecond.length] ?? 0;
      const arrived = bySecond.reduce((sum, arrivals) => sum + arrivals, 0) - current;
      if (arrived + current > 0) rates.set(route, arrived / WINDOW_SECONDS);
      else this.counts.delete(route);
    });
    return rates;
  }

  private advance(route: string, now: MonotonicMilliseconds): RouteCount {
    const second = Math.floor(now / MILLISECONDS_PER_SECOND);
    const known = this.counts.get(route);
    const count = known ?? { bySecond: new Array<number>(WINDOW_SECONDS + 1).fill(0), second };
    if (known === undefined) this.counts.set(route, count);
    const { length } = count.bySecond;
    const passed = Math.min(second - count.second, length);
    for (let step = 1; step <= passed; step += 1) count.bySecond[(second - step + 1) % length] = 0;
    count.second = second;
    return count;
  }
}

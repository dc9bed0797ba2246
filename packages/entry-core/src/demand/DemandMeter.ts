/**
 * Measures the rate of requests on each route, from which controllers size the fleet. Rates cover
 * whole seconds only.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

const MILLISECONDS_PER_SECOND = 1000;

const WINDOW_SECONDS = 10;

/** Short, so that a sudden increase shows before it is over. */
const RECENT_SECONDS = 4;

/** The rates of one route, over `WINDOW_SECONDS` and `RECENT_SECONDS`. */
export interface DemandRate {
  readonly requestsPerSecond: number;
  readonly recentPerSecond: number;
}

interface ArrivalCounter {
  /** Ring buffer of arrivals by second: the window and the current second. */
  readonly bySecond: number[];
  second: number;
}

/** Arrivals during the last whole seconds, without the current one. */
function sumLastSeconds({ bySecond, second }: ArrivalCounter, seconds: number): number {
  const { length } = bySecond;
  let arrived = 0;
  for (let offset = 1; offset <= seconds; offset += 1) {
    arrived += bySecond[(second - offset + length) % length] ?? 0;
  }
  return arrived;
}

export class DemandMeter {
  private readonly counts = new Map<string, ArrivalCounter>();

  record(route: string, now: MonotonicMilliseconds): void {
    const count = this.advance(route, now);
    const slot = count.second % count.bySecond.length;
    count.bySecond[slot] = (count.bySecond[slot] ?? 0) + 1;
  }

  /** The rates of all routes with arrivals in the window. */
  read(now: MonotonicMilliseconds): ReadonlyMap<string, DemandRate> {
    const rates = new Map<string, DemandRate>();
    this.counts.forEach((_, route) => {
      const count = this.advance(route, now);
      const arrived = sumLastSeconds(count, WINDOW_SECONDS);
      const current = count.bySecond[count.second % count.bySecond.length] ?? 0;
      if (arrived + current === 0) {
        this.counts.delete(route);
        return;
      }
      const recentPerSecond = sumLastSeconds(count, RECENT_SECONDS) / RECENT_SECONDS;
      rates.set(route, {
        requestsPerSecond: arrived / WINDOW_SECONDS,
        recentPerSecond,
      });
    });
    return rates;
  }

  private advance(route: string, now: MonotonicMilliseconds): ArrivalCounter {
    const second = Math.floor(now / MILLISECONDS_PER_SECOND);
    const existing = this.counts.get(route);
    const count = existing ?? { bySecond: new Array<number>(WINDOW_SECONDS + 1).fill(0), second };
    if (existing === undefined) this.counts.set(route, count);
    const { length } = count.bySecond;
    const elapsed = Math.min(second - count.second, length);
    for (let step = 1; step <= elapsed; step += 1) count.bySecond[(second - step + 1) % length] = 0;
    count.second = second;
    return count;
  }
}

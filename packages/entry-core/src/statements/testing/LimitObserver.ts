/**
 * Watches what reaches an engine that names a limit, from the side of the engine. Only entries that
 * have been told count, and only from `SETTLING_MILLISECONDS` after the limit was first named.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { SimulatedCluster, SimulatedEngine } from '../../driver/index.js';

const WINDOW_MILLISECONDS: Milliseconds = 4000;
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;

/** An entry may have sent what arrives this long after it was told. */
const TELLING_MILLISECONDS: Milliseconds = 500;

/** Time that entries have to tell each other. */
const SETTLING_MILLISECONDS: Milliseconds = 3000;

/** More requests in a window than are tolerated. */
export interface Excess {
  readonly until: MonotonicMilliseconds;
  readonly requests: number;
  readonly tolerated: number;
}

export class LimitObserver {
  constructor(private readonly cluster: SimulatedCluster) {}

  /** The windows, each until an arrival, in which the engine got more than it tolerates. */
  findExcess(engine: SimulatedEngine): Excess[] {
    const toldAt = this.findTellingTimes(engine);
    const namedAt = Math.min(...toldAt.values());
    const arrivals = engine.arrivals
      .filter(({ at, entry }) => at >= (toldAt.get(entry) ?? Infinity) + TELLING_MILLISECONDS)
      .filter(({ at }) => at >= namedAt + SETTLING_MILLISECONDS);
    const tolerated =
      engine.requestsPerSecond * (WINDOW_MILLISECONDS / 1000) * TOLERATED_FACTOR +
      TOLERATED_REQUESTS;
    return arrivals
      .map(({ at: until }) => {
        const requests = arrivals.filter(
          ({ at }) => at > until - WINDOW_MILLISECONDS && at <= until,
        ).length;
        return { until, requests, tolerated };
      })
      .filter(({ requests }) => requests > tolerated);
  }

  /** When each entry was first told of the limit in an answer to it. */
  private findTellingTimes({ instance }: SimulatedEngine): Map<string, MonotonicMilliseconds> {
    const times = this.cluster.entries.flatMap((entry) => {
      const toldAt = entry.toldLimitAt.get(instance);
      return toldAt === undefined ? [] : [[entry.instance, toldAt] as const];
    });
    return new Map(times);
  }
}

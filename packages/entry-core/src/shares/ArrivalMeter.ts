/**
 * Measures the requests that arrive for each pool, priority and workspace, and the work that they
 * bring, as exponentially decaying rates.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** 0.63 of a rise shows after this time; a shorter one would follow single requests. */
const TIME_CONSTANT_MILLISECONDS: Milliseconds = 1000;

const MILLISECONDS_PER_SECOND = 1000;

/** Rates below this are dropped. */
const MIN_REQUESTS_PER_SECOND = 0.02;

export interface ArrivalRate {
  readonly priority: number;
  readonly workspace: string;
  /** Requests per second. */
  readonly offered: number;
  /** Slots that the requests would keep busy. */
  readonly work: number;
}

interface DecayingRate {
  offered: number;
  work: number;
  updatedAt: MonotonicMilliseconds;
  readonly priority: number;
  readonly workspace: string;
}

function decay(rate: DecayingRate, now: MonotonicMilliseconds): void {
  const factor = Math.exp(-Math.max(0, now - rate.updatedAt) / TIME_CONSTANT_MILLISECONDS);
  rate.offered *= factor;
  rate.work *= factor;
  rate.updatedAt = now;
}

export class ArrivalMeter {
  /** By pool, and then by priority and workspace. */
  private readonly rates = new Map<string, Map<string, DecayingRate>>();

  /** @param cost - How long the request keeps a slot of a backend server. */
  record(
    pool: string,
    { priority, workspace }: Pick<ArrivalRate, 'priority' | 'workspace'>,
    cost: Milliseconds,
    now: MonotonicMilliseconds,
  ): void {
    const ofPool = this.rates.get(pool) ?? new Map<string, DecayingRate>();
    this.rates.set(pool, ofPool);
    const key = `${priority}/${workspace}`;
    const rate = ofPool.get(key) ?? { offered: 0, work: 0, updatedAt: now, priority, workspace };
    ofPool.set(key, rate);
    decay(rate, now);
    rate.offered += MILLISECONDS_PER_SECOND / TIME_CONSTANT_MILLISECONDS;
    rate.work += cost / TIME_CONSTANT_MILLISECONDS;
  }

  /** Work of the arrivals in all pools, in slots. */
  totalWork(now: MonotonicMilliseconds): number {
    let total = 0;
    this.rates.forEach((_, pool) => {
      total += this.read(pool, now).reduce((sum, { work }) => sum + work, 0);
    });
    return total;
  }

  read(pool: string, now: MonotonicMilliseconds): ArrivalRate[] {
    const ofPool = this.rates.get(pool);
    if (ofPool === undefined) return [];
    ofPool.forEach((rate, key) => {
      decay(rate, now);
      if (rate.offered < MIN_REQUESTS_PER_SECOND) ofPool.delete(key);
    });
    return [...ofPool.values()].map(({ priority, workspace, offered, work }) => ({
      priority,
      workspace,
      offered,
      work,
    }));
  }
}

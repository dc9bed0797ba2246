/**
 * Counts, from the side of an engine, the requests of an entry that it had asked for rest. What the
 * entry may have sent before it was told does not count.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { SimulatedEngine } from '../../driver/index.js';

const TELLING_MILLISECONDS: Milliseconds = 500;
const TOLERATED_REQUESTS = 2;

/** More requests in a time of rest than are tolerated. */
export interface RestViolation {
  readonly entry: string;
  readonly askedAt: MonotonicMilliseconds;
  readonly requests: number;
}

export function findRestViolations({ arrivals }: SimulatedEngine): RestViolation[] {
  return arrivals.flatMap(({ at: askedAt, entry, restFor }) => {
    if (restFor === undefined) return [];
    const requests = arrivals.filter(
      (arrival) =>
        arrival.entry === entry &&
        arrival.at > askedAt + TELLING_MILLISECONDS &&
        arrival.at <= askedAt + restFor,
    ).length;
    return requests > TOLERATED_REQUESTS ? [{ entry, askedAt, requests }] : [];
  });
}

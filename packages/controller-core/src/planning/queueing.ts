/**
 * How many places keep the wait within a deadline, by the Erlang C formula for random arrivals.
 *
 * Real engines slow down as they fill, so a place is a request at full speed (the pools table's
 * `concurrency`), and the formula is used for the wait before one only.
 */
import type { Milliseconds } from '@hornbeampond/schema';

const MOST_SLOTS = 1_000_000;

/** One part of a pool's load. */
export interface QueueLoad {
  readonly requestsPerSecond: number;
  readonly serviceMilliseconds: number;
  /** How long a request may wait for a place. */
  readonly allowedWait: Milliseconds;
}

/** Places that are busy on average. */
export function computeOfferedLoad(load: QueueLoad): number {
  return (load.requestsPerSecond * load.serviceMilliseconds) / 1000;
}

/** Share of requests that wait longer than `patience`, given the Erlang B blocking at `slots`. */
function lateShareFrom(blocking: number, slots: number, busy: number, load: QueueLoad): number {
  if (slots <= busy) return 1;
  const waiting = (slots * blocking) / (slots - busy * (1 - blocking));
  return waiting * Math.exp((-(slots - busy) * load.allowedWait) / load.serviceMilliseconds);
}

/** Share of requests that wait longer than their patience with so many places. */
export function computeLateFraction(slots: number, load: QueueLoad): number {
  const busy = computeOfferedLoad(load);
  if (busy <= 0) return 0;
  let blocking = 1;
  for (let count = 1; count <= slots; count += 1) {
    blocking = (busy * blocking) / (count + busy * blocking);
  }
  return lateShareFrom(blocking, slots, busy, load);
}

/** The fewest places with which a share of `onTime` of the requests wait no longer than allowed. */
export function computeRequiredSlots(load: QueueLoad, onTime: number): number {
  const busy = computeOfferedLoad(load);
  if (busy <= 0) return 0;
  let blocking = 1;
  for (let count = 1; count <= MOST_SLOTS; count += 1) {
    blocking = (busy * blocking) / (count + busy * blocking);
    if (lateShareFrom(blocking, count, busy, load) <= 1 - onTime) return count;
  }
  return MOST_SLOTS;
}

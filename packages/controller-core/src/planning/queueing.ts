/**
 * How many places keep the wait within a deadline, by the Erlang C formula for random arrivals.
 *
 * Real engines slow down as they fill, so a place is a request at full speed (the pools table's
 * `concurrency`), and the formula is used for the wait before one only.
 */
import type { Milliseconds } from '@hornbeampond/schema';

const MAX_SLOTS = 1_000_000;

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
function computeLateFractionFromBlocking(
  blockingProbability: number,
  slots: number,
  offeredLoad: number,
  load: QueueLoad,
): number {
  if (slots <= offeredLoad) return 1;
  const waitProbability =
    (slots * blockingProbability) / (slots - offeredLoad * (1 - blockingProbability));
  return (
    waitProbability *
    Math.exp((-(slots - offeredLoad) * load.allowedWait) / load.serviceMilliseconds)
  );
}

/** Share of requests that wait longer than their patience with so many places. */
export function computeLateFraction(slots: number, load: QueueLoad): number {
  const offeredLoad = computeOfferedLoad(load);
  if (offeredLoad <= 0) return 0;
  let blockingProbability = 1;
  for (let count = 1; count <= slots; count += 1) {
    blockingProbability =
      (offeredLoad * blockingProbability) / (count + offeredLoad * blockingProbability);
  }
  return computeLateFractionFromBlocking(blockingProbability, slots, offeredLoad, load);
}

/** The fewest places with which a share of `onTime` of the requests wait no longer than allowed. */
export function computeRequiredSlots(load: QueueLoad, onTimeTarget: number): number {
  const offeredLoad = computeOfferedLoad(load);
  if (offeredLoad <= 0) return 0;
  let blockingProbability = 1;
  for (let count = 1; count <= MAX_SLOTS; count += 1) {
    blockingProbability =
      (offeredLoad * blockingProbability) / (count + offeredLoad * blockingProbability);
    if (
      computeLateFractionFromBlocking(blockingProbability, count, offeredLoad, load) <=
      1 - onTimeTarget
    )
      return count;
  }
  return MAX_SLOTS;
}

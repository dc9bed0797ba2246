/**
 * Computes how many slots keep the wait within a limit for a given fraction of the requests, by the
 * Erlang C formula for random arrivals.
 *
 * A slot is one request in progress at full speed (`concurrency` in the pools table). Engines slow
 * down as they fill, which the formula does not model; it is used only for the wait until a slot is
 * free.
 */
import type { Milliseconds } from '@hornbeampond/schema';

const MAX_SLOTS = 1_000_000;

/** Requests that wait for the same slots, and the wait that they allow. */
export interface QueueLoad {
  readonly requestsPerSecond: number;
  readonly serviceMilliseconds: number;
  /** How long a request may wait for a slot. */
  readonly allowedWait: Milliseconds;
}

/** Returns the offered load in Erlangs: the number of slots that are busy on average. */
export function computeOfferedLoad(load: QueueLoad): number {
  return (load.requestsPerSecond * load.serviceMilliseconds) / 1000;
}

/**
 * Returns the fraction of requests that wait longer than allowed, from the Erlang B blocking
 * probability.
 */
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

/**
 * Returns the fraction of requests that wait longer than allowed with the given number of slots.
 */
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

/**
 * Returns the fewest slots, up to `MAX_SLOTS`, with which the fraction `onTimeTarget` of the
 * requests waits no longer than allowed.
 */
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

/**
 * How many instances of a pool the measured demand needs. An engine runs out of two things: places
 * in its batch, which long answers take, and time to compute prompts, which delays the tokens of
 * all that run beside them. The scarcer one decides.
 */
import type { RouteDemandReport } from '@hornbeampond/schema';
import type { SizeNeed } from './planSizes.js';

/**
 * Shares of an engine that may be in use. Prompts are computed one after the other: at a third of
 * the time in use one waits a quarter of its own length on average, at two thirds all of it.
 */
const NORMAL_SHARES = { places: 0.25, prompts: 0.35 } as const;
const AFTER_LOSS_SHARES = { places: 0.5, prompts: 0.6 } as const;

const MILLISECONDS_PER_SECOND = 1000;

/** Load of a pool in instances that would be in use all the time. */
export interface PoolLoad {
  readonly places: number;
  readonly prompts: number;
}

export function measureLoad(demand: readonly RouteDemandReport[], concurrency: number): PoolLoad {
  let inProgress = 0;
  let prompts = 0;
  demand.forEach(({ requestsPerSecond, serviceMilliseconds, promptMilliseconds = 0 }) => {
    inProgress += (requestsPerSecond * serviceMilliseconds) / MILLISECONDS_PER_SECOND;
    prompts += (requestsPerSecond * promptMilliseconds) / MILLISECONDS_PER_SECOND;
  });
  return { places: inProgress / Math.max(1, concurrency), prompts };
}

function instancesFor(load: PoolLoad, shares: PoolLoad): number {
  return Math.ceil(Math.max(load.places / shares.places, load.prompts / shares.prompts));
}

/** The instances that a load needs. */
export function needFor(load: PoolLoad): SizeNeed {
  return {
    normal: instancesFor(load, NORMAL_SHARES),
    afterLoss: instancesFor(load, AFTER_LOSS_SHARES),
  };
}

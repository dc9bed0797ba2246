/**
 * How many instances of a pool the measured demand needs. An engine runs out of two things: places
 * in its batch, which long answers take, and time to compute prompts, which delays the tokens of
 * all that run beside them. The scarcer one decides.
 */
import type { RouteDemandReport } from '@hornbeampond/schema';
import type { InstanceNeed } from './planSizes.js';

/**
 * Shares of an engine that may be in use. The time for a prompt is learnt from first tokens and holds
 * what it waits for others, so it is longer than the mere computing, and the shares are higher.
 */
const MAX_UTILIZATION = { places: 0.3, prompts: 0.65 } as const;
const MAX_UTILIZATION_AFTER_LOSS = { places: 0.5, prompts: 0.95 } as const;

const MILLISECONDS_PER_SECOND = 1000;

/** Load of a pool in instances that would be in use all the time. */
export interface PoolLoad {
  readonly places: number;
  readonly prompts: number;
}

type RateOf = (report: RouteDemandReport) => number;

function computeLoad(
  demand: readonly RouteDemandReport[],
  concurrency: number,
  rateOf: RateOf,
): PoolLoad {
  let inProgress = 0;
  let prompts = 0;
  demand.forEach((report) => {
    const { serviceMilliseconds, promptMilliseconds = 0 } = report;
    inProgress += (rateOf(report) * serviceMilliseconds) / MILLISECONDS_PER_SECOND;
    prompts += (rateOf(report) * promptMilliseconds) / MILLISECONDS_PER_SECOND;
  });
  return { places: inProgress / Math.max(1, concurrency), prompts };
}

/**
 * The load over the last ten seconds, or over the last few where that is more. An engine takes
 * seconds to start, and a rush may last no longer than it takes to show in ten.
 */
export function measureLoad(demand: readonly RouteDemandReport[], concurrency: number): PoolLoad {
  const longTermLoad = computeLoad(
    demand,
    concurrency,
    ({ requestsPerSecond }) => requestsPerSecond,
  );
  const recentLoad = computeLoad(demand, concurrency, ({ recentPerSecond = 0 }) => recentPerSecond);
  return {
    places: Math.max(longTermLoad.places, recentLoad.places),
    prompts: Math.max(longTermLoad.prompts, recentLoad.prompts),
  };
}

function countInstances(load: PoolLoad, maxUtilization: PoolLoad): number {
  return Math.ceil(
    Math.max(load.places / maxUtilization.places, load.prompts / maxUtilization.prompts),
  );
}

/** The instances that a load needs. */
export function computeInstanceNeed(load: PoolLoad): InstanceNeed {
  return {
    normal: countInstances(load, MAX_UTILIZATION),
    afterLoss: countInstances(load, MAX_UTILIZATION_AFTER_LOSS),
  };
}

/**
 * Computes how many instances of a pool the reported demand needs. An engine has two limited
 * resources: slots in its batch, which long answers occupy, and time for prefill, which delays the
 * tokens of the other requests in the batch. The scarcer resource decides.
 */
import type { RouteDemandReport } from '@hornbeampond/schema';
import type { InstanceNeed } from './planSizes.js';

/**
 * Utilization to plan for: slots in use (`places`) and time spent on prefill (`prompts`). Prefill
 * times are estimated from first-token delays, which include waiting for other prompts, so the
 * limits for `prompts` are higher.
 */
const MAX_UTILIZATION = { places: 0.3, prompts: 0.65 } as const;
const MAX_UTILIZATION_AFTER_LOSS = { places: 0.5, prompts: 0.95 } as const;

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Load of a pool, as the number of instances it would occupy completely: `places` by slots in use,
 * `prompts` by time spent on prefill.
 */
export interface PoolLoad {
  readonly places: number;
  readonly prompts: number;
}

type RateOf = (report: RouteDemandReport) => number;

/** Computes the load with the rate that `rateOf` takes from each report. */
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
 * Returns the load by the ten-second rate or by the rate of the last few seconds, whichever is
 * higher. An engine takes seconds to start, so a sudden increase must count before the ten-second
 * rate shows it.
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

/** Returns the instances that the load needs, normally and after the planned loss. */
export function computeInstanceNeed(load: PoolLoad): InstanceNeed {
  return {
    normal: countInstances(load, MAX_UTILIZATION),
    afterLoss: countInstances(load, MAX_UTILIZATION_AFTER_LOSS),
  };
}

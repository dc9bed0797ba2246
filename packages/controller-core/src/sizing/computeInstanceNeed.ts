/**
 * Computes how many instances of a pool the reported demand needs. An engine has two limited
 * resources: slots in its batch, which long answers occupy, and time for prefill, which delays the
 * tokens of the other requests in the batch. The scarcer resource decides.
 */
import type { Milliseconds, RouteDemandReport } from '@hornbeampond/schema';
import type { InstanceNeed } from './planSizes.js';

/**
 * Utilization to plan for: slots in use (`places`) and time spent on prefill (`prompts`). Prefill
 * times are estimated from first-token delays, which include waiting for other prompts, so the
 * limits for `prompts` are higher.
 */
const MAX_UTILIZATION = { places: 0.45, prompts: 0.65 } as const;
const MAX_UTILIZATION_AFTER_LOSS = { places: 0.65, prompts: 0.95 } as const;

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

/** A duration that one entry reports, and the measurements behind it. */
interface ReportedDuration {
  readonly value: Milliseconds;
  readonly samples: number;
}

/** More samples say no more, because old ones fade from the averages. */
const MAX_SAMPLES_OF_ENTRY = 20;

/**
 * Mean of what the entries report, weighted by their samples. Each of many entries serves a route
 * seldom, and until it has measured it reports an assumption that may be far too high; assumptions
 * count only while no entry has measured.
 */
function averageDuration(durations: readonly ReportedDuration[]): Milliseconds {
  const measured = durations.filter(({ samples }) => samples > 0);
  const counted = measured.length > 0 ? measured : durations;
  let sum = 0;
  let weights = 0;
  counted.forEach(({ value, samples }) => {
    const weight = Math.min(MAX_SAMPLES_OF_ENTRY, Math.max(1, samples));
    sum += value * weight;
    weights += weight;
  });
  return weights === 0 ? 0 : sum / weights;
}

function groupByRoute(
  demand: readonly RouteDemandReport[],
): ReadonlyMap<string, RouteDemandReport[]> {
  const byRoute = new Map<string, RouteDemandReport[]>();
  demand.forEach((report) => {
    const reports = byRoute.get(report.route) ?? [];
    reports.push(report);
    byRoute.set(report.route, reports);
  });
  return byRoute;
}

/** Computes the load with the rate that `rateOf` takes from each report. */
function computeLoad(
  demand: readonly RouteDemandReport[],
  concurrency: number,
  rateOf: RateOf,
): PoolLoad {
  let inProgress = 0;
  let prompts = 0;
  groupByRoute(demand).forEach((reports) => {
    const rate = reports.reduce((sum, report) => sum + rateOf(report), 0) / MILLISECONDS_PER_SECOND;
    inProgress +=
      rate *
      averageDuration(
        reports.map(({ serviceMilliseconds, measuredServiceMilliseconds, serviceSamples }) => ({
          value: measuredServiceMilliseconds ?? serviceMilliseconds,
          samples: serviceSamples ?? 0,
        })),
      );
    prompts +=
      rate *
      averageDuration(
        reports.map(({ promptMilliseconds: value = 0, promptSamples: samples = 1 }) => ({
          value,
          samples,
        })),
      );
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

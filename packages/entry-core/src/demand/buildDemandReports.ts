/** Builds the reports to controllers of the demand at this entry, one for each route. */
import type { MonotonicMilliseconds, RouteDemandReport } from '@hornbeampond/schema';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';
import { getRouteIndex } from '../routing/getRouteIndex.js';

export function buildDemandReports(
  state: EntryState,
  now: MonotonicMilliseconds,
): RouteDemandReport[] {
  const poolByRoute = new Map(
    state.configuration.routes.rows.map((route) => [route.name, route.pool]),
  );
  const index = getRouteIndex(state);
  return [...state.demand.read(now)].flatMap(([route, rate]) => {
    const pool = index.pool(poolByRoute.get(route) ?? '');
    if (pool === undefined) return [];
    const poolState = getPoolState(state, pool.name);
    const serviceTime = poolState.measureServiceTime(route);
    const promptMilliseconds = poolState.estimatePrefillTime(route);
    return [
      {
        route,
        pool: pool.name,
        requestsPerSecond: rate.requestsPerSecond,
        recentPerSecond: rate.recentPerSecond,
        serviceMilliseconds: poolState.estimateBusyServiceTime(route),
        ...(serviceTime === undefined
          ? {}
          : {
              measuredServiceMilliseconds: serviceTime.value,
              serviceSamples: serviceTime.samples,
            }),
        promptMilliseconds,
        promptSamples: poolState.firstTokenRegression.trustedSamples,
      },
    ];
  });
}

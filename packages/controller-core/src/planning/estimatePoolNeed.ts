/**
 * Estimates the slots that a pool needs now, and the most it will need until an instance started
 * now could serve, so that capacity for a forecast peak is ordered in time.
 */
import type { EpochMilliseconds, Milliseconds, Pool, Route } from '@hornbeampond/schema';
import { createRouteDemand, forecastRequestsPerSecond, sumDemand } from '../demand/RouteDemand.js';
import type { ControllerState } from '../state.js';
import { deadlineAt } from './deadlines.js';
import type { NeedEstimate, SlotNeed } from './PoolPlan.js';
import { computeOfferedLoad, computeRequiredSlots, type QueueLoad } from './queueing.js';

/** Interval between the points in time at which the forecast is evaluated. */
const FORECAST_STEP_MILLISECONDS: Milliseconds = 2 * 60_000;
/** Factor on the usual start duration, because start durations vary. */
const START_DURATION_SAFETY_FACTOR = 1.25;
/** Lower limit of the planned wait, for routes whose deadlines leave no time to wait. */
const MIN_ALLOWED_WAIT_MILLISECONDS: Milliseconds = 50;

/**
 * Returns how long a request may wait for a slot: the smaller of what the first-token and the
 * whole-answer deadline leave. A first token is assumed to take a tenth of the mean service time, a
 * whole answer one and a half times that time.
 */
export function computeAllowedWait(
  route: Route,
  at: EpochMilliseconds,
  serviceMilliseconds: number,
): Milliseconds {
  const deadline = deadlineAt(route, at);
  const waitBeforeFirstToken = deadline.firstTokenMilliseconds - serviceMilliseconds / 10;
  const waitBeforeWholeAnswer = deadline.wholeAnswerMilliseconds - serviceMilliseconds * 1.5;
  return Math.max(
    MIN_ALLOWED_WAIT_MILLISECONDS,
    Math.min(waitBeforeFirstToken, waitBeforeWholeAnswer),
  );
}

interface RouteLoad extends QueueLoad {
  readonly measuredRequestsPerSecond: number;
}

/**
 * Returns the expected load at a point in time, with headroom; the current rate if there is no
 * forecast.
 */
function computeRouteLoad(state: ControllerState, route: Route, at: EpochMilliseconds): RouteLoad {
  const demand = state.demand.get(route.name) ?? createRouteDemand();
  const { requestsPerSecond, serviceMilliseconds } = sumDemand(demand);
  const forecast = forecastRequestsPerSecond(state, route, demand, at);
  const { headroom, headroomWithoutProfile } = state.policy;
  const expectedRequestsPerSecond =
    at === state.wallNow ? requestsPerSecond : (forecast ?? requestsPerSecond);
  const headroomFactor = 1 + (forecast === undefined ? headroomWithoutProfile : headroom);
  return {
    measuredRequestsPerSecond: requestsPerSecond,
    requestsPerSecond: expectedRequestsPerSecond * headroomFactor,
    serviceMilliseconds,
    allowedWait: computeAllowedWait(route, at, serviceMilliseconds),
  };
}

/**
 * Returns the slots that a pool needs for the loads of all its routes. Engines serve the earliest
 * deadline first, so a request does not wait for those of routes that allow a longer wait. Each
 * route therefore needs slots for itself and for the routes with a shorter allowed wait.
 */
export function computeRequiredSlotsForRoutes(
  loads: readonly QueueLoad[],
  onTimeTarget: number,
): number {
  const sorted = [...loads].sort((a, b) => a.allowedWait - b.allowedWait);
  let requestsPerSecond = 0;
  let offeredLoad = 0;
  return sorted.reduce((maxSlots, load) => {
    requestsPerSecond += load.requestsPerSecond;
    offeredLoad += computeOfferedLoad(load);
    if (requestsPerSecond === 0) return maxSlots;
    const combinedLoad = {
      requestsPerSecond,
      serviceMilliseconds: (offeredLoad / requestsPerSecond) * 1000,
      allowedWait: load.allowedWait,
    };
    return Math.max(maxSlots, computeRequiredSlots(combinedLoad, onTimeTarget));
  }, 0);
}

function computeNeed(state: ControllerState, loads: readonly QueueLoad[]): SlotNeed {
  return {
    normal: computeRequiredSlotsForRoutes(loads, state.policy.onTimeTarget),
    afterLoss: computeRequiredSlotsForRoutes(loads, state.policy.onTimeTargetAfterLoss),
  };
}

/** Returns how long before it is needed an instance has to be started. */
export function computeStartLeadTime(state: ControllerState, pool: Pool): Milliseconds {
  const startDuration = state.startDurations.get(pool.name) ?? state.policy.defaultStartDuration;
  return startDuration * START_DURATION_SAFETY_FACTOR;
}

export interface PoolNeed {
  /** The need for the current rates with headroom. */
  readonly currentEstimate: NeedEstimate;
  /** The highest need between now and the end of the start lead time. */
  readonly peakNeed: SlotNeed;
}

export function estimatePoolNeed(state: ControllerState, pool: Pool): PoolNeed {
  const routes = state.configuration.routes.rows.filter((route) => route.pool === pool.name);
  const leadTime = computeStartLeadTime(state, pool);
  const steps = Math.ceil(leadTime / FORECAST_STEP_MILLISECONDS);
  const currentLoads = routes.map((route) => computeRouteLoad(state, route, state.wallNow));
  const currentNeed = computeNeed(state, currentLoads);
  let peakNeed = currentNeed;
  let forecastPerSecond = 0;
  for (let step = 0; step <= steps; step += 1) {
    const at = state.wallNow + Math.min(leadTime, step * FORECAST_STEP_MILLISECONDS);
    const loads =
      step === 0 ? currentLoads : routes.map((route) => computeRouteLoad(state, route, at));
    const need = computeNeed(state, loads);
    peakNeed = {
      normal: Math.max(peakNeed.normal, need.normal),
      afterLoss: Math.max(peakNeed.afterLoss, need.afterLoss),
    };
    const totalRequestsPerSecond = loads.reduce((sum, load) => sum + load.requestsPerSecond, 0);
    forecastPerSecond = Math.max(forecastPerSecond, totalRequestsPerSecond);
  }
  const weightedServiceMilliseconds = currentLoads.reduce(
    (sum, load) => sum + load.measuredRequestsPerSecond * load.serviceMilliseconds,
    0,
  );
  const measuredRequestsPerSecond = currentLoads.reduce(
    (sum, load) => sum + load.measuredRequestsPerSecond,
    0,
  );
  const currentEstimate = {
    ...currentNeed,
    requestsPerSecond: measuredRequestsPerSecond,
    forecastPerSecond,
    serviceMilliseconds:
      measuredRequestsPerSecond > 0 ? weightedServiceMilliseconds / measuredRequestsPerSecond : 0,
    shortestAllowedWait: Math.min(
      ...currentLoads.map((load) => load.allowedWait),
      Number.MAX_SAFE_INTEGER,
    ),
  };
  return { currentEstimate, peakNeed };
}

/**
 * Places for requests that a pool needs: now, and over the time that a start would take, so that
 * capacity asked for now is there when a rush begins.
 */
import type { EpochMilliseconds, Milliseconds, Pool, Route } from '@hornbeampond/schema';
import { createRouteDemand, forecastRequestsPerSecond, sumDemand } from '../demand/RouteDemand.js';
import type { ControllerState } from '../state.js';
import { deadlineAt } from './deadlines.js';
import type { NeedEstimate, SlotNeed } from './PoolPlan.js';
import { computeOfferedLoad, computeRequiredSlots, type QueueLoad } from './queueing.js';

/** The time ahead is looked at in steps of this length. */
const FORECAST_STEP_MILLISECONDS: Milliseconds = 2 * 60_000;
/** Starts are asked this much ahead of what a start has taken, as starts vary. */
const START_DURATION_SAFETY_FACTOR = 1.25;
/** A wait of less than this is not planned for, however little patience a route leaves. */
const MIN_ALLOWED_WAIT_MILLISECONDS: Milliseconds = 50;

/**
 * How long a request of the route may wait for a place: whichever of the deadlines for the first
 * token and for the whole answer leaves less. The first token itself is taken to need a tenth of
 * the time that the whole answer takes.
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
 * Engines serve the earliest deadline first, so a patient route's requests do not delay those of
 * an impatient one: each route needs places for itself and all that are less patient.
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

/** How far ahead a start has to be asked. */
export function computeStartLeadTime(state: ControllerState, pool: Pool): Milliseconds {
  const startDuration = state.startDurations.get(pool.name) ?? state.policy.defaultStartDuration;
  return startDuration * START_DURATION_SAFETY_FACTOR;
}

export interface PoolNeed {
  readonly currentEstimate: NeedEstimate;
  /** The highest need from now to the end of the time a start takes. */
  readonly peakAhead: SlotNeed;
}

/** The places that the pool needs, and the figures behind them. */
export function estimatePoolNeed(state: ControllerState, pool: Pool): PoolNeed {
  const routes = state.configuration.routes.rows.filter((route) => route.pool === pool.name);
  const leadTime = computeStartLeadTime(state, pool);
  const steps = Math.ceil(leadTime / FORECAST_STEP_MILLISECONDS);
  const currentLoads = routes.map((route) => computeRouteLoad(state, route, state.wallNow));
  const currentNeed = computeNeed(state, currentLoads);
  let peakAhead = currentNeed;
  let forecastPerSecond = 0;
  for (let step = 0; step <= steps; step += 1) {
    const at = state.wallNow + Math.min(leadTime, step * FORECAST_STEP_MILLISECONDS);
    const loads =
      step === 0 ? currentLoads : routes.map((route) => computeRouteLoad(state, route, at));
    const need = computeNeed(state, loads);
    peakAhead = {
      normal: Math.max(peakAhead.normal, need.normal),
      afterLoss: Math.max(peakAhead.afterLoss, need.afterLoss),
    };
    const totalRequestsPerSecond = loads.reduce((sum, load) => sum + load.requestsPerSecond, 0);
    forecastPerSecond = Math.max(forecastPerSecond, totalRequestsPerSecond);
  }
  const measuredConcurrencyMilliseconds = currentLoads.reduce(
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
      measuredRequestsPerSecond > 0
        ? measuredConcurrencyMilliseconds / measuredRequestsPerSecond
        : 0,
    shortestAllowedWait: Math.min(
      ...currentLoads.map((load) => load.allowedWait),
      Number.MAX_SAFE_INTEGER,
    ),
  };
  return { currentEstimate, peakAhead };
}

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
const FORECAST_STEP: Milliseconds = 2 * 60_000;
/** Starts are asked this much ahead of what a start has taken, as starts vary. */
const START_MARGIN = 1.25;
/** A wait of less than this is not planned for, however little patience a route leaves. */
const LEAST_PATIENCE: Milliseconds = 50;

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
  const forFirst = deadline.firstTokenMilliseconds - serviceMilliseconds / 10;
  const forWhole = deadline.wholeAnswerMilliseconds - serviceMilliseconds * 1.5;
  return Math.max(LEAST_PATIENCE, Math.min(forFirst, forWhole));
}

interface RouteLoad extends QueueLoad {
  readonly measured: number;
}

function loadAt(state: ControllerState, route: Route, at: EpochMilliseconds): RouteLoad {
  const demand = state.demand.get(route.name) ?? createRouteDemand();
  const { requestsPerSecond, serviceMilliseconds } = sumDemand(demand);
  const forecast = forecastRequestsPerSecond(state, route, demand, at);
  const { headroom, headroomWithoutProfile: headroomWithoutShape } = state.policy;
  const expected = at === state.wallNow ? requestsPerSecond : (forecast ?? requestsPerSecond);
  const factor = 1 + (forecast === undefined ? headroomWithoutShape : headroom);
  return {
    measured: requestsPerSecond,
    requestsPerSecond: expected * factor,
    serviceMilliseconds,
    allowedWait: computeAllowedWait(route, at, serviceMilliseconds),
  };
}

/**
 * Engines serve the earliest deadline first, so a patient route's requests do not delay those of
 * an impatient one: each route needs places for itself and all that are less patient.
 */
export function computeRequiredSlotsForRoutes(loads: readonly QueueLoad[], onTime: number): number {
  const sorted = [...loads].sort((a, b) => a.allowedWait - b.allowedWait);
  let rate = 0;
  let busy = 0;
  return sorted.reduce((most, load) => {
    rate += load.requestsPerSecond;
    busy += computeOfferedLoad(load);
    if (rate === 0) return most;
    const together = {
      requestsPerSecond: rate,
      serviceMilliseconds: (busy / rate) * 1000,
      allowedWait: load.allowedWait,
    };
    return Math.max(most, computeRequiredSlots(together, onTime));
  }, 0);
}

function needOf(state: ControllerState, loads: readonly QueueLoad[]): SlotNeed {
  return {
    normal: computeRequiredSlotsForRoutes(loads, state.policy.onTimeTarget),
    afterLoss: computeRequiredSlotsForRoutes(loads, state.policy.onTimeTargetAfterLoss),
  };
}

/** How far ahead a start has to be asked. */
export function computeStartLeadTime(state: ControllerState, pool: Pool): Milliseconds {
  const measured = state.startDurations.get(pool.name) ?? state.policy.defaultStartDuration;
  return measured * START_MARGIN;
}

export interface PoolNeed {
  readonly currentEstimate: NeedEstimate;
  /** The highest need from now to the end of the time a start takes. */
  readonly peakAhead: SlotNeed;
}

/** The places that the pool needs, and the figures behind them. */
export function estimatePoolNeed(state: ControllerState, pool: Pool): PoolNeed {
  const routes = state.configuration.routes.rows.filter((route) => route.pool === pool.name);
  const lead = computeStartLeadTime(state, pool);
  const steps = Math.ceil(lead / FORECAST_STEP);
  const nowLoads = routes.map((route) => loadAt(state, route, state.wallNow));
  const now = needOf(state, nowLoads);
  let ahead = now;
  let forecastPerSecond = 0;
  for (let step = 0; step <= steps; step += 1) {
    const at = state.wallNow + Math.min(lead, step * FORECAST_STEP);
    const loads = step === 0 ? nowLoads : routes.map((route) => loadAt(state, route, at));
    const need = needOf(state, loads);
    ahead = {
      normal: Math.max(ahead.normal, need.normal),
      afterLoss: Math.max(ahead.afterLoss, need.afterLoss),
    };
    const total = loads.reduce((sum, load) => sum + load.requestsPerSecond, 0);
    forecastPerSecond = Math.max(forecastPerSecond, total);
  }
  const busy = nowLoads.reduce((sum, load) => sum + load.measured * load.serviceMilliseconds, 0);
  const measured = nowLoads.reduce((sum, load) => sum + load.measured, 0);
  const figures = {
    ...now,
    requestsPerSecond: measured,
    forecastPerSecond,
    serviceMilliseconds: measured > 0 ? busy / measured : 0,
    shortestAllowedWait: Math.min(
      ...nowLoads.map((load) => load.allowedWait),
      Number.MAX_SAFE_INTEGER,
    ),
  };
  return { currentEstimate: figures, peakAhead: ahead };
}

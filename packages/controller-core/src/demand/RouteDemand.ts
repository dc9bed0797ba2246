/**
 * Measured demand of one route: the level now, summed over its sources, and the shape of its day.
 *
 * The shape is kept by quarter hour of the route's own time zone, so that a rush stays at the
 * same local time when daylight saving changes.
 */
import type {
  EpochMilliseconds,
  MonotonicMilliseconds,
  Route,
  RouteDemandReport,
} from '@hornbeampond/schema';
import type { ControllerState } from '../state.js';
import { minuteOfDay } from './localTime.js';

export const QUARTER_HOURS_PER_DAY = 96;
const SLOT_MINUTES = (24 * 60) / QUARTER_HOURS_PER_DAY;
/** Time constant of the level; short against a rush, long against the noise of arrivals. */
const LEVEL_MILLISECONDS = 60_000;
/** Weight of the newest day in the learnt shape. */
const NEWEST_DAY_WEIGHT = 0.5;
/** Today may differ from the learnt shape by this factor before the shape stops being believed. */
const MOST_SCALE = 2;

interface DemandSource {
  requestsPerSecond: number;
  serviceMilliseconds: number;
  lastReportAt: MonotonicMilliseconds;
  /** The data centre it speaks for. */
  readonly dataCentre: string;
}

export interface RouteDemand {
  readonly sources: Map<string, DemandSource>;
  /** Mean requests a second by quarter hour; null where nothing was learnt. */
  readonly dailyProfile: (number | null)[];
  /** The quarter hour that is being measured. */
  currentQuarterHour: { index: number; sum: number; samples: number };
}

export function createRouteDemand(): RouteDemand {
  return {
    sources: new Map(),
    dailyProfile: Array.from({ length: QUARTER_HOURS_PER_DAY }, () => null),
    currentQuarterHour: { index: -1, sum: 0, samples: 0 },
  };
}

/** Position in the local day, in quarter hours with a fraction. */
function positionInDay(route: Route, at: EpochMilliseconds): number {
  return minuteOfDay(route.timeZone, at) / SLOT_MINUTES;
}

/** Takes in one source's report, smoothed. */
export function addDemandReport(
  state: ControllerState,
  demand: RouteDemand,
  name: string,
  dataCentre: string,
  report: RouteDemandReport,
): void {
  const source = demand.sources.get(name);
  if (source === undefined) {
    const { requestsPerSecond, serviceMilliseconds } = report;
    const fresh = { requestsPerSecond, serviceMilliseconds, lastReportAt: state.now, dataCentre };
    demand.sources.set(name, fresh);
    return;
  }
  const weight = 1 - Math.exp((source.lastReportAt - state.now) / LEVEL_MILLISECONDS);
  source.requestsPerSecond += weight * (report.requestsPerSecond - source.requestsPerSecond);
  source.serviceMilliseconds += weight * (report.serviceMilliseconds - source.serviceMilliseconds);
  source.lastReportAt = state.now;
}

/** Requests a second over all sources, and the mean time that one keeps a place busy. */
export function sumDemand(demand: RouteDemand): {
  readonly requestsPerSecond: number;
  readonly serviceMilliseconds: number;
} {
  let requestsPerSecond = 0;
  let busy = 0;
  demand.sources.forEach((source) => {
    requestsPerSecond += source.requestsPerSecond;
    busy += source.requestsPerSecond * source.serviceMilliseconds;
  });
  const first = demand.sources.values().next().value?.serviceMilliseconds ?? 0;
  return {
    requestsPerSecond,
    serviceMilliseconds: requestsPerSecond > 0 ? busy / requestsPerSecond : first,
  };
}

/** Adds the level to the quarter hour in progress; closes one that has ended into the shape. */
export function updateDailyProfile(
  state: ControllerState,
  route: Route,
  demand: RouteDemand,
): void {
  const slot = Math.floor(positionInDay(route, state.wallNow));
  const { currentQuarterHour: current, dailyProfile: shape } = demand;
  if (slot !== current.index) {
    if (current.samples > 0) {
      const mean = current.sum / current.samples;
      const old = shape[current.index] ?? null;
      shape[current.index] = old === null ? mean : old + NEWEST_DAY_WEIGHT * (mean - old);
    }
    demand.currentQuarterHour = { index: slot, sum: 0, samples: 0 };
  }
  demand.currentQuarterHour.sum += sumDemand(demand).requestsPerSecond;
  demand.currentQuarterHour.samples += 1;
}

/** The learnt requests a second at a time of day, between the middles of two quarter hours. */
function shapeAt(route: Route, demand: RouteDemand, at: EpochMilliseconds): number | undefined {
  const position = positionInDay(route, at) - 0.5 + QUARTER_HOURS_PER_DAY;
  const before = demand.dailyProfile[Math.floor(position) % QUARTER_HOURS_PER_DAY] ?? null;
  const after = demand.dailyProfile[Math.floor(position + 1) % QUARTER_HOURS_PER_DAY] ?? null;
  if (before === null || after === null) return undefined;
  const share = position - Math.floor(position);
  return before + share * (after - before);
}

/**
 * Requests a second to expect at a later time: the learnt shape, scaled by how today compares
 * with it so far. Undefined where the shape is not known.
 */
export function forecastRequestsPerSecond(
  state: ControllerState,
  route: Route,
  demand: RouteDemand,
  at: EpochMilliseconds,
): number | undefined {
  const usual = shapeAt(route, demand, at);
  const usualNow = shapeAt(route, demand, state.wallNow);
  if (usual === undefined || usualNow === undefined) return undefined;
  const level = sumDemand(demand).requestsPerSecond;
  const scale = usualNow > 0 ? level / usualNow : 1;
  return usual * Math.min(MOST_SCALE, Math.max(1 / MOST_SCALE, scale));
}

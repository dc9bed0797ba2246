/**
 * Demand of one route: the smoothed rate of each source, and a daily profile to forecast from.
 *
 * The profile holds a mean rate for each quarter hour in the route's time zone, so a peak stays at
 * its local time when daylight saving changes.
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
const QUARTER_HOUR_MINUTES = (24 * 60) / QUARTER_HOURS_PER_DAY;
/** Short enough to follow a peak, long enough to average out random arrivals. */
const SMOOTHING_TIME_CONSTANT_MILLISECONDS = 60_000;
/** Weight of the newest day in the moving average of the profile. */
const NEWEST_DAY_WEIGHT = 0.5;
/** Limit on the factor by which a forecast scales the profile, up or down. */
const MAX_PROFILE_SCALE = 2;

/** An entry of the own data centre, or the controller of another data centre. */
interface DemandSource {
  requestsPerSecond: number;
  serviceMilliseconds: number;
  lastReportAt: MonotonicMilliseconds;
  /** The data centre whose demand this source reports. */
  readonly dataCentre: string;
}

export interface RouteDemand {
  readonly sources: Map<string, DemandSource>;
  /** Mean requests a second by quarter hour of the local day; null where unknown. */
  readonly dailyProfile: (number | null)[];
  /** Running sum of the rate in the quarter hour in progress. */
  currentQuarterHour: { index: number; sum: number; samples: number };
}

export function createRouteDemand(): RouteDemand {
  return {
    sources: new Map(),
    dailyProfile: Array.from({ length: QUARTER_HOURS_PER_DAY }, () => null),
    currentQuarterHour: { index: -1, sum: 0, samples: 0 },
  };
}

function quarterHoursSinceMidnight(route: Route, at: EpochMilliseconds): number {
  return minuteOfDay(route.timeZone, at) / QUARTER_HOUR_MINUTES;
}

/** Updates one source by its report, with exponential smoothing. */
export function addDemandReport(
  state: ControllerState,
  demand: RouteDemand,
  sourceName: string,
  dataCentre: string,
  report: RouteDemandReport,
): void {
  const source = demand.sources.get(sourceName);
  if (source === undefined) {
    const { requestsPerSecond, serviceMilliseconds } = report;
    const newSource = {
      requestsPerSecond,
      serviceMilliseconds,
      lastReportAt: state.now,
      dataCentre,
    };
    demand.sources.set(sourceName, newSource);
    return;
  }
  const weight =
    1 - Math.exp((source.lastReportAt - state.now) / SMOOTHING_TIME_CONSTANT_MILLISECONDS);
  source.requestsPerSecond += weight * (report.requestsPerSecond - source.requestsPerSecond);
  source.serviceMilliseconds += weight * (report.serviceMilliseconds - source.serviceMilliseconds);
  source.lastReportAt = state.now;
}

/** Total rate over all sources, and the mean service time of a request weighted by rate. */
export function sumDemand(demand: RouteDemand): {
  readonly requestsPerSecond: number;
  readonly serviceMilliseconds: number;
} {
  let requestsPerSecond = 0;
  let busyMilliseconds = 0;
  demand.sources.forEach((source) => {
    requestsPerSecond += source.requestsPerSecond;
    busyMilliseconds += source.requestsPerSecond * source.serviceMilliseconds;
  });
  const firstServiceMilliseconds = demand.sources.values().next().value?.serviceMilliseconds ?? 0;
  return {
    requestsPerSecond,
    serviceMilliseconds:
      requestsPerSecond > 0 ? busyMilliseconds / requestsPerSecond : firstServiceMilliseconds,
  };
}

/** Adds the current rate to its quarter hour; merges a finished quarter hour into the profile. */
export function updateDailyProfile(
  state: ControllerState,
  route: Route,
  demand: RouteDemand,
): void {
  const index = Math.floor(quarterHoursSinceMidnight(route, state.wallNow));
  const { currentQuarterHour, dailyProfile } = demand;
  if (index !== currentQuarterHour.index) {
    if (currentQuarterHour.samples > 0) {
      const mean = currentQuarterHour.sum / currentQuarterHour.samples;
      const previousMean = dailyProfile[currentQuarterHour.index] ?? null;
      dailyProfile[currentQuarterHour.index] =
        previousMean === null ? mean : previousMean + NEWEST_DAY_WEIGHT * (mean - previousMean);
    }
    demand.currentQuarterHour = { index, sum: 0, samples: 0 };
  }
  demand.currentQuarterHour.sum += sumDemand(demand).requestsPerSecond;
  demand.currentQuarterHour.samples += 1;
}

/** The profile's rate at a time of day, interpolated between the midpoints of quarter hours. */
function profileRateAt(
  route: Route,
  demand: RouteDemand,
  at: EpochMilliseconds,
): number | undefined {
  const position = quarterHoursSinceMidnight(route, at) - 0.5 + QUARTER_HOURS_PER_DAY;
  const before = demand.dailyProfile[Math.floor(position) % QUARTER_HOURS_PER_DAY] ?? null;
  const after = demand.dailyProfile[Math.floor(position + 1) % QUARTER_HOURS_PER_DAY] ?? null;
  if (before === null || after === null) return undefined;
  const fraction = position - Math.floor(position);
  return before + fraction * (after - before);
}

/**
 * Expected requests a second at a later time: the profile's rate, scaled by the ratio of the rate
 * now to the profile's rate now. Undefined where the profile is unknown.
 */
export function forecastRequestsPerSecond(
  state: ControllerState,
  route: Route,
  demand: RouteDemand,
  at: EpochMilliseconds,
): number | undefined {
  const profileRate = profileRateAt(route, demand, at);
  const profileRateNow = profileRateAt(route, demand, state.wallNow);
  if (profileRate === undefined || profileRateNow === undefined) return undefined;
  const measuredRate = sumDemand(demand).requestsPerSecond;
  const scale = profileRateNow > 0 ? measuredRate / profileRateNow : 1;
  return profileRate * Math.min(MAX_PROFILE_SCALE, Math.max(1 / MAX_PROFILE_SCALE, scale));
}

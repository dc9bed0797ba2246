/** The report of an active controller to those of the other data centres. */
import { listOwnClosedPlaces } from './buying/placeClosures.js';
import { buildOwnServingReports } from './planning/servingCapacity.js';
import { buildOwnDemandReports } from './demand/reduceDemand.js';
import type { DataCentreReport } from './events.js';
import type { ControllerState } from './state.js';

/** `withShapes` adds the daily profiles; they change slowly, so not every report carries them. */
export function makeDataCentreReport(
  state: ControllerState,
  withShapes: boolean,
): DataCentreReport {
  const report = {
    dataCentre: state.dataCentre,
    demand: buildOwnDemandReports(state),
    closedOffers: listOwnClosedPlaces(state),
    serving: buildOwnServingReports(state),
  };
  if (!withShapes) return report;
  const shapes = [...state.demand].map(
    ([route, { dailyProfile }]) => [route, dailyProfile] as const,
  );
  return { ...report, shapes: Object.fromEntries(shapes) };
}

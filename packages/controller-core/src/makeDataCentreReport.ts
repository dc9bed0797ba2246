/** What an active controller tells those of the other data centres about once a second. */
import { listOwnClosedOffers } from './buying/placeClosures.js';
import { ownServing } from './planning/standing.js';
import { buildOwnDemandReports } from './demand/reduceDemand.js';
import type { DataCentreReport } from './events.js';
import type { ControllerState } from './state.js';

/** With `withShapes` it also carries the learnt days; once a minute is often enough for those. */
export function makeDataCentreReport(
  state: ControllerState,
  withShapes: boolean,
): DataCentreReport {
  const report = {
    dataCentre: state.dataCentre,
    demand: buildOwnDemandReports(state),
    closedOffers: listOwnClosedOffers(state),
    serving: ownServing(state),
  };
  if (!withShapes) return report;
  const shapes = [...state.demand].map(
    ([route, { dailyProfile }]) => [route, dailyProfile] as const,
  );
  return { ...report, shapes: Object.fromEntries(shapes) };
}

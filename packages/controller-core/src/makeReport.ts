/** What an active controller tells those of the other data centres about once a second. */
import { ownClosedOffers } from './buying/closures.js';
import { ownServing } from './planning/standing.js';
import { ownDemand } from './demand/reduceDemand.js';
import type { DataCentreReport } from './events.js';
import type { ControllerState } from './state.js';

/** With `withShapes` it also carries the learnt days; once a minute is often enough for those. */
export function makeReport(state: ControllerState, withShapes: boolean): DataCentreReport {
  const report = {
    dataCentre: state.dataCentre,
    demand: ownDemand(state),
    closedOffers: ownClosedOffers(state),
    serving: ownServing(state),
  };
  if (!withShapes) return report;
  const shapes = [...state.demand].map(([route, { shape }]) => [route, shape] as const);
  return { ...report, shapes: Object.fromEntries(shapes) };
}

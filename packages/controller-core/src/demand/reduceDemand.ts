/**
 * Tracks the demand of all routes: reports from the entries of the own data centre, totals from
 * the controllers of the others, and the daily profiles. Sources that stop reporting are removed
 * after a while.
 */
import type { RouteDemandReport } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import type { ControllerEvent, DataCentreReport } from '../events.js';
import type { ControllerState } from '../state.js';
import {
  addDemandReport,
  createRouteDemand,
  updateDailyProfile,
  sumDemand,
  type RouteDemand,
} from './RouteDemand.js';

function getOrCreateDemand(state: ControllerState, route: string): RouteDemand {
  const existing = state.demand.get(route);
  if (existing !== undefined) return existing;
  const created = createRouteDemand();
  state.demand.set(route, created);
  return created;
}

function addDemandReports(
  state: ControllerState,
  sourceName: string,
  dataCentre: string,
  reports: readonly RouteDemandReport[],
): void {
  reports.forEach((report) => {
    addDemandReport(state, getOrCreateDemand(state, report.route), sourceName, dataCentre, report);
  });
}

function receivePeerReport(state: ControllerState, report: DataCentreReport): void {
  if (report.dataCentre === state.dataCentre) return;
  addDemandReports(state, `dataCentre:${report.dataCentre}`, report.dataCentre, report.demand);
  const { closedOffers, serving } = report;
  state.peers.set(report.dataCentre, { lastReportAt: state.now, closedOffers, serving });
  Object.entries(report.shapes ?? {}).forEach(([route, peerProfile]) => {
    const ownProfile = getOrCreateDemand(state, route).dailyProfile;
    peerProfile.forEach((value, index) => {
      ownProfile[index] ??= value;
    });
  });
}

/** True if the fleet holds any instance of a data centre. */
function hasKnownInstances(state: ControllerState, dataCentre: string): boolean {
  return [...state.fleet.values()].some((instance) => instance.dataCentre === dataCentre);
}

/** True if a data centre's last report counted serving instances, but the fleet holds none now. */
function hasLostAllInstances(state: ControllerState, dataCentre: string): boolean {
  const hadInstances = state.peers.get(dataCentre)?.serving.some(({ instances }) => instances > 0);
  return hadInstances === true && !hasKnownInstances(state, dataCentre);
}

/**
 * Removes sources that no longer report. Callers of a failed entry retry at other entries, so its
 * demand is dropped soon. An unreachable data centre may still be serving without its controllers,
 * so its demand counts for longer, unless the fleet holds none of its instances any more.
 */
function removeUnreachableSources(state: ControllerState): void {
  state.demand.forEach((demand) => {
    demand.sources.forEach((source, name) => {
      const sinceLastReport = state.now - source.lastReportAt;
      const isOwnDataCentre = source.dataCentre === state.dataCentre;
      const isExpired = isOwnDataCentre
        ? sinceLastReport > state.policy.entryTimeout
        : sinceLastReport > state.policy.unreachableDemandRetention ||
          (sinceLastReport > state.policy.peerTimeout &&
            hasLostAllInstances(state, source.dataCentre));
      if (isExpired) demand.sources.delete(name);
    });
  });
}

function advanceDemand(state: ControllerState): void {
  removeUnreachableSources(state);
  state.configuration.routes.rows.forEach((route) => {
    const demand = state.demand.get(route.name);
    if (demand !== undefined) updateDailyProfile(state, route, demand);
  });
}

export function reduceDemand(state: ControllerState, event: ControllerEvent): ControllerEffect[] {
  if (event.type === 'demandReported') {
    addDemandReports(state, `entry:${event.entry}`, state.dataCentre, event.demand);
  }
  if (event.type === 'peerReported') receivePeerReport(state, event.report);
  if (event.type === 'tick') advanceDemand(state);
  return [];
}

/** Demand of the own data centre by route, for the report to the other controllers. */
export function buildOwnDemandReports(state: ControllerState): RouteDemandReport[] {
  return [...state.demand].flatMap(([route, demand]) => {
    const sources = [...demand.sources].filter(
      ([, source]) => source.dataCentre === state.dataCentre,
    );
    if (sources.length === 0) return [];
    return [{ route, ...sumDemand({ ...demand, sources: new Map(sources) }) }];
  });
}

/**
 * Sends this entry's report to its peers: once a second, and with the next tick when there is
 * something that cannot wait, such as a reclaim notice.
 */
import type { EntryReport, DelayRegressionState, PeerSuspect } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import { buildDemandReports } from '../demand/buildDemandReports.js';
import type { EntryState } from '../EntryState.js';
import { describeRollouts } from '../rollouts/describeRollouts.js';
import { listEarlierReports, omitReported } from './omitReported.js';
import type { Suspect } from '../quarantine/QuarantineState.js';

export const REPORT_INTERVAL_MILLISECONDS = 1000;

/**
 * Between two reports pass at least as many milliseconds as this for each entry, since every report
 * goes to all of them: 56 entries with a report in each tick fill links of 7 Mbit/s. Up to 12 entries
 * may report in each tick.
 */
const MIN_INTERVAL_MILLISECONDS_PER_ENTRY = 4;
const MAX_MIN_INTERVAL_MILLISECONDS = 500;

/** Crash count reported for a quarantined digest, whose crashes are no longer counted here. */
const QUARANTINED_DIGEST_CRASHES = 2;

function countInProgress(state: EntryState): Record<string, number> {
  const counts: Record<string, number> = {};
  state.requests.forEach(({ route, request }) => {
    const key = `${route.name}/${request.workspace}`;
    counts[key] = (counts[key] ?? 0) + 1;
  });
  return counts;
}

function findInstanceRunning(state: EntryState, digest: string): string | undefined {
  return [...state.attempts.values()].find(
    ({ requestId, timedOut: givenUp }) =>
      !givenUp && state.requests.get(requestId)?.request.digest === digest,
  )?.instance;
}

function listQuarantined(state: EntryState): PeerSuspect[] {
  return [...state.quarantine.quarantined].map(([digest, { until }]) => ({
    digest,
    crashes: QUARANTINED_DIGEST_CRASHES,
    crashIds: [],
    quarantinedUntil: until,
  }));
}

function isIsolationRequired({ isolationLifted }: Suspect): boolean {
  return isolationLifted !== true;
}

function listSuspects(state: EntryState): PeerSuspect[] {
  const suspects = [...state.quarantine.suspects.values()];
  return suspects
    .filter(isIsolationRequired)
    .map(({ digest, crashIds, exposure, tokens, lossInstance }) => ({
      digest,
      crashes: crashIds.size,
      crashIds: [...crashIds],
      judging: lossInstance !== undefined,
      exposure,
      tokens,
      runningAt: findInstanceRunning(state, digest),
      pending: [...state.requests.values()].some(({ request }) => request.digest === digest),
    }));
}

/** Learnt time to the first token, by pool; pools with too few samples are left out. */
function collectFirstTokenDelays(state: EntryState): Record<string, DelayRegressionState> {
  const delays: Record<string, DelayRegressionState> = {};
  state.poolStates.forEach(({ firstTokenRegression }, pool) => {
    const delay = firstTokenRegression.toRegressionState();
    if (delay !== undefined) delays[pool] = delay;
  });
  return delays;
}

/**
 * Builds the fields that are reported only where operators replace all tables at once
 * (`configuration.whole`). Marks the spending as reported.
 */
function buildWholeConfigurationFields(
  state: EntryState,
): Pick<
  EntryReport,
  | 'spent'
  | 'sentAt'
  | 'recentlySpent'
  | 'windowSpent'
  | 'windowReach'
  | 'entries'
  | 'delays'
  | 'begun'
  | 'demand'
> {
  return {
    spent: state.limits.allowanceLimiter.reportTotals(),
    ...state.limits.allowanceLimiter.reportTimes(state.clocks.now),
    ...state.limits.allowanceLimiter.reportWindow(state.clocks.now),
    entries: state.limits.allowanceLimiter.entryCount,
    delays: collectFirstTokenDelays(state),
    begun: state.usage.read(),
    demand: buildDemandReports(state, state.clocks.now),
  };
}

/** What backend servers and the platform have said, as far as no other entry reports it. */
function describeServers(
  state: EntryState,
): Pick<
  EntryReport,
  'rateLimits' | 'brittleness' | 'rejections' | 'departures' | 'leavingBackendServers'
> {
  const reports = listEarlierReports(state);
  const rateLimits = omitReported(
    state.rateLimits.describe(),
    reports.map((report) => report.rateLimits ?? {}),
    (own, reported) => own.requestsPerSecond === reported.requestsPerSecond,
  );
  const brittleness = omitReported(
    state.brittleness.describe(),
    reports.map((report) => report.brittleness ?? {}),
    (own, reported) => own.survivedRejections === reported.survivedRejections,
  );
  const rejections = omitReported(
    state.rejections.describe(state.clocks.now),
    reports.map((report) => report.rejections ?? {}),
    (own, reported) => own.statedAt <= reported.statedAt,
  );
  const reportedDepartures = new Set(reports.flatMap((report) => report.departures ?? []));
  const departures = state.departures.instances.filter((name) => !reportedDepartures.has(name));
  const leavingBackendServers = omitReported(
    Object.fromEntries(state.reclaims.leaving),
    reports.map((report) => report.leavingBackendServers),
    (own, reported) => reported <= own,
  );
  return {
    ...(Object.keys(rateLimits).length === 0 ? {} : { rateLimits }),
    ...(Object.keys(brittleness).length === 0 ? {} : { brittleness }),
    ...(Object.keys(rejections).length === 0 ? {} : { rejections }),
    ...(departures.length === 0 ? {} : { departures }),
    leavingBackendServers,
  };
}

function makeReport(state: EntryState): EntryReport {
  const rollouts = describeRollouts(state);
  const { instance, dataCentre, incarnation } = state.identity;
  const { tunnelAddress, lost } = state.paths;
  state.membership.sequence += 1;
  return {
    type: 'entryReport',
    instance,
    dataCentre,
    incarnation,
    sequence: state.membership.sequence,
    leaving: state.shutdown.started,
    ...(state.slowness.detector.isSlow ? { slow: true } : {}),
    ...(tunnelAddress === undefined ? {} : { tunnelAddress }),
    ...(lost.size === 0 ? {} : { lostPaths: lost.size }),
    revision: state.configuration.revision,
    inProgress: countInProgress(state),
    ...(state.configuration.whole === undefined ? {} : buildWholeConfigurationFields(state)),
    ...(rollouts.length === 0 ? {} : { rollouts }),
    ...describeServers(state),
    suspects: [...listSuspects(state), ...listQuarantined(state)],
    ...state.quarantine.ownCrashes.describe(state.clocks.now),
  };
}

/** Makes the next tick send a report. */
export function reportAtOnce(state: EntryState): void {
  state.membership.reportDueAt = 0;
}

/** Sends a report with the next tick, or as soon after the last report as the entries can bear. */
export function reportSoon(state: EntryState): void {
  const { membership } = state;
  const entryCount = membership.peers.size + 1;
  const minInterval = Math.min(
    MAX_MIN_INTERVAL_MILLISECONDS,
    entryCount * MIN_INTERVAL_MILLISECONDS_PER_ENTRY,
  );
  membership.reportDueAt = Math.min(membership.reportDueAt, membership.reportedAt + minInterval);
}

/** Tick handler: sends the report if it is due. */
export function advanceReports(state: EntryState, { now }: Timestamps): EntryEffect[] {
  if (state.membership.reportDueAt > now) return [];
  state.membership.reportedAt = now;
  state.membership.reportDueAt = now + REPORT_INTERVAL_MILLISECONDS;
  return [{ type: 'reportToEntries', report: makeReport(state) }];
}

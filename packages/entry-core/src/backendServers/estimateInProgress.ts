/**
 * Estimates the requests in progress at a backend server: those of this entry, and those that the
 * other entries report. If the reports are incomplete, the last load report of the server is split
 * into own and other requests at the time of measurement, and own requests are counted exactly from
 * then on. With the load report alone, all entries would see the same idle server and send to it
 * until its next report.
 */
import type { EpochMilliseconds, LoadReport, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { BackendServerState } from './BackendServerState.js';
import { countOwnInProgress } from './countOwnInProgress.js';
import type { EndedAttempt } from './BalancingState.js';

/** Limit per server; when it is exceeded, the older half is dropped. */
const MAX_ENDED_ATTEMPTS = 512;

/** Older load reports are ignored. */
const MAX_LOAD_REPORT_AGE_MILLISECONDS = 15_000;

export function recordEndedAttempt(server: BackendServerState, ended: EndedAttempt): void {
  const { endedAttempts } = server.balancing;
  endedAttempts.push(ended);
  if (endedAttempts.length > MAX_ENDED_ATTEMPTS) {
    endedAttempts.splice(0, MAX_ENDED_ATTEMPTS / 2);
  }
}

function countOwnInProgressAt(
  state: EntryState,
  server: BackendServerState,
  measuredAt: MonotonicMilliseconds,
): number {
  let own = server.balancing.endedAttempts.filter((ended) => ended.startedAt <= measuredAt).length;
  for (const attemptId of server.attemptIds) {
    const attempt = state.attempts.get(attemptId);
    if (attempt !== undefined && attempt.startedAt <= measuredAt) own += 1;
  }
  return own;
}

/** Applies a load report, unless it was measured before the last one. */
export function receiveLoadReport(
  state: EntryState,
  report: LoadReport,
  now: MonotonicMilliseconds,
  wallNow: EpochMilliseconds,
): void {
  const server = state.backendServers.get(report.instance);
  if (server === undefined) return;
  const measuredAt = now - Math.max(0, wallNow - report.measuredAt);
  const { balancing } = server;
  if (balancing.measuredAt !== undefined && measuredAt < balancing.measuredAt) return;
  if (report.timeFactor !== undefined) {
    state.speeds.recordStatement(report.instance, report.timeFactor, measuredAt);
  }
  server.load = report;
  server.loadReceivedAt = now;
  balancing.measuredAt = measuredAt;
  const endedSince = balancing.endedAttempts.filter((ended) => ended.endedAt > measuredAt);
  balancing.endedAttempts.splice(0, balancing.endedAttempts.length, ...endedSince);
  const own = countOwnInProgressAt(state, server, measuredAt);
  balancing.ownInProgressAtMeasurement = own;
  balancing.otherEntriesInProgress = Math.max(0, report.running + report.queued - own);
}

/**
 * True if the work of the other entries is known: a store has sent sums lately, or all other entries
 * are connected to this one.
 */
function isPeerWorkKnown({ membership, workReports, clocks }: EntryState): boolean {
  if (membership.peers.size === 0) return false;
  if (workReports.ageOfSums(clocks.now) !== undefined) return true;
  return [...membership.peers.values()].every(({ isReachable: live }) => live);
}

/**
 * Requests of all entries in progress at the server. Without complete work reports, each other
 * entry is assumed to have added as many since the last load report as this one, because callers
 * are balanced over all entries. Otherwise an old load report would let each entry fill the server
 * by itself.
 */
export function estimateInProgress(state: EntryState, server: BackendServerState): number {
  if (isPeerWorkKnown(state)) {
    return (
      countOwnInProgress(state, server) +
      state.workReports.peerWorkAt(server.platformInstance.instance).inProgress
    );
  }
  const { measuredAt, otherEntriesInProgress, ownInProgressAtMeasurement } = server.balancing;
  const own = countOwnInProgress(state, server);
  const { now } = state.clocks;
  const isReportFresh =
    measuredAt !== undefined && now - measuredAt <= MAX_LOAD_REPORT_AGE_MILLISECONDS;
  const ownGrowth = Math.max(0, own - (isReportFresh ? ownInProgressAtMeasurement : 0));
  const otherEntryCount = state.limits.concurrencyLimiter.entryCount - 1;
  return own + (isReportFresh ? otherEntriesInProgress : 0) + otherEntryCount * ownGrowth;
}

/**
 * Estimates what a backend server has in progress from a load report that lags. The report is
 * split into own and other work at the moment it was measured; own work is then counted exactly,
 * so that what this entry has sent since is added and what has ended since is taken off. Without
 * it, all entries see the same idle server until its next report and all send to it.
 */
import type { EpochMilliseconds, LoadReport, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { BackendServerState } from './BackendServerState.js';
import type { EndedAttempt } from './BalancingState.js';

/** Own attempts of the last seconds that are remembered for one server; older ones are let go. */
const MAX_ENDED_ATTEMPTS = 512;

/** A load report that says nothing about now. */
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

/** Takes in a load report; one older than what is known already is passed over. */
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
  server.load = report;
  server.loadReceivedAt = now;
  balancing.measuredAt = measuredAt;
  const endedSince = balancing.endedAttempts.filter((ended) => ended.endedAt > measuredAt);
  balancing.endedAttempts.splice(0, balancing.endedAttempts.length, ...endedSince);
  const own = countOwnInProgressAt(state, server, measuredAt);
  balancing.ownInProgressAtMeasurement = own;
  balancing.otherEntriesInProgress = Math.max(0, report.running + report.queued - own);
}

/** True while all other entries that are known tell what they have in progress. */
function isEveryPeerConnected({ membership }: EntryState): boolean {
  if (membership.peers.size === 0) return false;
  return [...membership.peers.values()].every(({ live }) => live);
}

/**
 * Requests in progress at the server now, of this entry and of others. Where some cannot tell theirs,
 * a load report stands in: other entries of the data
 * centre are taken to have grown since the measurement as this one has, since the balancer gives
 * all of them the same rush; a report that is seconds old would otherwise let each of them fill
 * the server for itself.
 */
export function estimateInProgress(state: EntryState, server: BackendServerState): number {
  if (isEveryPeerConnected(state)) {
    return (
      server.attemptIds.size + state.peerWork.workAt(server.platformInstance.instance).inProgress
    );
  }
  const { measuredAt, otherEntriesInProgress, ownInProgressAtMeasurement } = server.balancing;
  const own = server.attemptIds.size;
  const { now } = state.clocks;
  const isReportFresh =
    measuredAt !== undefined && now - measuredAt <= MAX_LOAD_REPORT_AGE_MILLISECONDS;
  const ownGrowth = Math.max(0, own - (isReportFresh ? ownInProgressAtMeasurement : 0));
  const otherEntryCount = state.limits.concurrencyLimiter.entryCount - 1;
  return own + (isReportFresh ? otherEntriesInProgress : 0) + otherEntryCount * ownGrowth;
}

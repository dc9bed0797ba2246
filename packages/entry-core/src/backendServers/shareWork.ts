/**
 * Exchanges work reports with the other entries: the requests and pending prompt tokens of each
 * entry at backend servers, and the prefixes that were prefilled for it.
 */
import type {
  EntryDigest,
  MonotonicMilliseconds,
  ServerWork,
  WorkReport,
} from '@hornbeampond/schema';
import { mustReportUse, receiveUse, takeDueUse } from '../admission/reportUse.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { countOwnInProgress } from './countOwnInProgress.js';
import { getPoolState } from './getPoolState.js';
import { countOwnPendingTokens } from './predictFirstTokenDelay.js';

function readOwnWork(state: EntryState, backendServer: string): ServerWork {
  const server = state.backendServers.get(backendServer);
  if (server === undefined) return { inProgress: 0, promptTokens: 0 };
  return {
    inProgress: countOwnInProgress(state, server),
    promptTokens: Math.round(countOwnPendingTokens(server)),
  };
}

export function advanceWorkReports(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  const { instance, incarnation } = state.identity;
  state.membership.peers.forEach(({ isReachable: live }, peer) => {
    if (live) return;
    state.workReports.removePeerWork(peer);
    state.shares.peerTotals.remove(peer);
  });
  const entryCount = state.membership.peers.size + 1;
  const dueReport = state.workReports.takeDueReport(
    entryCount,
    now,
    (backendServer) => readOwnWork(state, backendServer),
    { isDue: state.speeds.isReportDue(now), isUrgent: state.speeds.hasNews },
    mustReportUse(state, entryCount, now),
  );
  if (dueReport === undefined) return [];
  const use = takeDueUse(state, entryCount, now);
  const begun = state.usage.takeChanged();
  const speeds = state.speeds.takeReport(now);
  const work: WorkReport = {
    type: 'workReport',
    instance,
    incarnation,
    ...dueReport,
    ...(begun === undefined ? {} : { begun }),
    ...(speeds === undefined ? {} : { speeds }),
    ...(use === undefined ? {} : { use }),
  };
  return [{ type: 'tellWork', work }];
}

/** Records the prefixes that other entries report as computed. */
export function receiveComputedPrefixes(
  state: EntryState,
  computed: Readonly<Record<string, readonly string[]>>,
  now: MonotonicMilliseconds,
): void {
  Object.entries(computed).forEach(([instance, digests]) => {
    const server = state.backendServers.get(instance);
    if (server === undefined) return;
    getPoolState(state, server.platformInstance.pool).prefixCacheIndex.recordCached(
      server,
      digests,
      now,
    );
  });
}

export function receiveWorkReport(
  state: EntryState,
  report: WorkReport,
  now: MonotonicMilliseconds,
): void {
  if (report.instance === state.identity.instance) return;
  state.workReports.applyReport(report);
  state.speeds.applyPeerReport(report, now);
  state.shares.peerTotals.apply(report, now);
  receiveComputedPrefixes(state, report.computed, now);
}

/** Applies the work and the prefixes of a digest; they include those of this entry. */
export function receiveWorkDigest(
  state: EntryState,
  digest: EntryDigest,
  isWhole: boolean,
  now: MonotonicMilliseconds,
): void {
  // The clocks of two processes differ a little, and one that is ahead would make it negative.
  const { wallNow } = state.clocks;
  const transit = Math.max(0, wallNow - (digest.publishedAt ?? wallNow));
  state.workReports.applySums(digest, isWhole, state.identity.instance, now, transit);
  state.speeds.applyDigest(digest.speeds, isWhole, now);
  receiveUse(state, digest.use, isWhole, now);
  receiveComputedPrefixes(state, digest.computed, now);
}

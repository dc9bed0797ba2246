/** What this entry may send to a backend server that names a limit on requests per second. */
import type { Milliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryState } from '../EntryState.js';
import { NO_SHARE, shareRateLimit, type RateShare } from './shareRateLimit.js';

/**
 * An entry that has been silent for this long has ended. One that is only unreachable goes on to use
 * its share.
 */
const SILENT_ENTRY_MILLISECONDS: Milliseconds = 60_000;

/** Entries that use a server in this data centre: those in it, or all if there is none in it. */
function listEntriesFor(state: EntryState, dataCentre: string): string[] {
  const { now } = state.clocks;
  const { instance, dataCentre: ownDataCentre } = state.identity;
  const others = [...state.membership.peers.values()]
    .filter(({ receivedAt }) => now - receivedAt < SILENT_ENTRY_MILLISECONDS)
    .filter(({ report }) => !report.leaving)
    .map(({ report }) => ({ instance: report.instance, dataCentre: report.dataCentre }));
  const own = state.shutdown.started ? [] : [{ instance, dataCentre: ownDataCentre }];
  const entries = [...own, ...others];
  const local = entries.filter((entry) => entry.dataCentre === dataCentre);
  return (local.length > 0 ? local : entries).map((entry) => entry.instance);
}

function computeShare(state: EntryState, { platformInstance }: BackendServerState): RateShare {
  const { instance: backendServer, dataCentre } = platformInstance;
  const requestsPerSecond = state.rateLimits.at(backendServer);
  const entries = listEntriesFor(state, dataCentre);
  return shareRateLimit({ backendServer, requestsPerSecond, entries }, state.identity.instance);
}

function useShare(state: EntryState, server: BackendServerState) {
  const { instance } = server.platformInstance;
  return state.rateLimits.useShare(instance, state.clocks.now, () => computeShare(state, server));
}

/** True if the server names a limit. */
export function isRateLimited(
  state: EntryState,
  { platformInstance }: BackendServerState,
): boolean {
  return state.rateLimits.at(platformInstance.instance) < Infinity;
}

/** Requests per second that this entry may send to the servers; infinite if one has no limit. */
export function sumAllowedRates(state: EntryState, servers: readonly BackendServerState[]): number {
  if (servers.length === 0 || servers.some((server) => !isRateLimited(state, server))) {
    return Infinity;
  }
  return servers.reduce((sum, server) => sum + useShare(state, server).share.requestsPerSecond, 0);
}

/** True if the server's limit leaves nothing to this entry, now or later. */
export function isOutsideRateLimit(state: EntryState, server: BackendServerState): boolean {
  return isRateLimited(state, server) && useShare(state, server).share === NO_SHARE;
}

/** The backend servers whose limits leave nothing to this entry. */
export function listInstancesOutsideRateLimit(state: EntryState): string[] {
  return state.rateLimits.limitedInstances.filter((instance) => {
    const server = state.backendServers.get(instance);
    return server !== undefined && isOutsideRateLimit(state, server);
  });
}

/** True if the server's limit allows this entry to send a request now. */
export function isWithinRateLimit(state: EntryState, server: BackendServerState): boolean {
  return !isRateLimited(state, server) || useShare(state, server).tokens >= 1;
}

/** Counts a request that is sent to the server. */
export function countTowardsRateLimit(state: EntryState, server: BackendServerState): void {
  if (!isRateLimited(state, server)) return;
  useShare(state, server);
  state.rateLimits.take(server.platformInstance.instance);
}

/**
 * Records that a backend server is about to be reclaimed, as listed by the platform or announced
 * by a notice or a peer. It receives no new work from then on. If the sources disagree, the
 * earliest time applies.
 */
import type { EpochMilliseconds, PlatformInstance } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { migrateStreams } from './migrateStreams.js';

/** A notice is kept for this long after its backend server should have stopped. */
const NOTICE_RETENTION_MILLISECONDS = 60_000;

/** Returns true if the backend server now leaves earlier than known so far. */
function recordDeparture(state: EntryState, instance: string, goneAt: EpochMilliseconds): boolean {
  const previous = state.reclaims.leaving.get(instance) ?? Number.POSITIVE_INFINITY;
  const earliest = Math.min(previous, goneAt);
  state.reclaims.leaving.set(instance, earliest);
  const server = state.backendServers.get(instance);
  if (server !== undefined) server.goneAt = earliest;
  return earliest < previous;
}

export function recordReclaimNotice(
  state: EntryState,
  instance: string,
  goneAt: EpochMilliseconds,
  timestamps: Timestamps,
): EntryEffect[] {
  if (goneAt + NOTICE_RETENTION_MILLISECONDS <= timestamps.wallNow) return [];
  if (!recordDeparture(state, instance, goneAt)) return [];
  reportSoon(state);
  const notice = goneAt - timestamps.wallNow;
  return [
    { type: 'log', event: 'reclaimNoticed', fields: { backendServer: instance, goneAt, notice } },
    ...migrateStreams(state, instance, timestamps),
  ];
}

/**
 * Records the notices in the list of the platform. A backend server may be listed only after its
 * notice arrived from another source; the notice applies from its first listing.
 */
export function recordListedReclaimNotices(
  state: EntryState,
  instances: readonly PlatformInstance[],
  timestamps: Timestamps,
): EntryEffect[] {
  // Record all notices before migrating any stream, so that none is sent to a leaving server.
  const newlyLeaving = instances.flatMap(({ instance, goneAt }) => {
    const earliest = Math.min(goneAt ?? Infinity, state.reclaims.leaving.get(instance) ?? Infinity);
    return Number.isFinite(earliest) && recordDeparture(state, instance, earliest)
      ? [instance]
      : [];
  });
  if (newlyLeaving.length > 0) reportSoon(state);
  return newlyLeaving.flatMap((instance) => [
    { type: 'log', event: 'reclaimNoticed', fields: { backendServer: instance } } as const,
    ...migrateStreams(state, instance, timestamps),
  ]);
}

/**
 * Removes an expired notice. A server that is still listed as live was not reclaimed and accepts
 * new work again.
 */
function removeExpiredNotice(state: EntryState, instance: string): void {
  state.reclaims.leaving.delete(instance);
  state.reclaims.failuresBySource.delete(instance);
  const server = state.backendServers.get(instance);
  if (server?.platformInstance.state === 'live') server.goneAt = server.platformInstance.goneAt;
}

/** Continues the migration of streams from leaving backend servers, and removes expired notices. */
export function advanceReclaims(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  return [...state.reclaims.leaving].flatMap(([instance, goneAt]) => {
    if (goneAt + NOTICE_RETENTION_MILLISECONDS > timestamps.wallNow) {
      return migrateStreams(state, instance, timestamps);
    }
    removeExpiredNotice(state, instance);
    return [];
  });
}

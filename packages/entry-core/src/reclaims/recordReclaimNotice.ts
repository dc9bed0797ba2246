/**
 * A backend server is known to be leaving, from the platform's list, a notice, or a peer. From here
 * on it gets no new work; the earliest time that any source names is taken.
 */
import type { EpochMilliseconds, PlatformInstance } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { migrateStreams } from './migrateStreams.js';

/** What is known of a backend server's end is forgotten this long after it. */
const NOTICE_RETENTION_MILLISECONDS = 60_000;

/** True if this moved the known end to an earlier time. */
function recordDeparture(state: EntryState, instance: string, goneAt: EpochMilliseconds): boolean {
  const known = state.reclaims.leaving.get(instance) ?? Number.POSITIVE_INFINITY;
  const earliest = Math.min(known, goneAt);
  state.reclaims.leaving.set(instance, earliest);
  const server = state.backendServers.get(instance);
  if (server !== undefined) server.goneAt = earliest;
  return earliest < known;
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
 * Takes the notices out of the platform's list. A backend server that is listed only after its
 * notice came another way is on notice from its first listing on.
 */
export function recordListedReclaimNotices(
  state: EntryState,
  instances: readonly PlatformInstance[],
  timestamps: Timestamps,
): EntryEffect[] {
  // All of a wave is noted before any stream is handed on, or streams would be sent into it.
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

/** A backend server that is still there, and listed as live, takes work again: it was not reclaimed. */
function removeExpiredNotice(state: EntryState, instance: string): void {
  state.reclaims.leaving.delete(instance);
  const server = state.backendServers.get(instance);
  if (server?.platformInstance.state === 'live') server.goneAt = server.platformInstance.goneAt;
}

/** Hands on what still runs on backend servers on notice, as time and the link allow. */
export function advanceReclaims(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  return [...state.reclaims.leaving].flatMap(([instance, goneAt]) => {
    if (goneAt + NOTICE_RETENTION_MILLISECONDS > timestamps.wallNow) {
      return migrateStreams(state, instance, timestamps);
    }
    removeExpiredNotice(state, instance);
    return [];
  });
}

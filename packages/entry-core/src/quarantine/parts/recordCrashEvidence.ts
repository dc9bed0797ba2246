/** Keeps, and tells the other entries, which requests had brought nothing when a server crashed. */
import type { Timestamps } from '../../entryEvents.js';
import type { EntryState } from '../../EntryState.js';
import { reportSoon } from '../../membership/advanceReports.js';
import type { ConnectionLoss } from '../QuarantineState.js';

/** Requests of one entry that are reported of one crash. */
const MAX_REPORTED_REQUESTS = 16;

export function recordCrashEvidence(
  state: EntryState,
  { instance, openedAt, unanswered }: ConnectionLoss,
  crashId: string,
  { now, wallNow }: Timestamps,
): void {
  const pool = state.backendServers.get(instance)?.platformInstance.pool;
  if (unanswered === undefined || pool === undefined) return;
  const evidence = {
    backendServer: instance,
    pool,
    at: wallNow - (now - openedAt),
    unanswered: unanswered.slice(0, MAX_REPORTED_REQUESTS),
  };
  state.quarantine.partEvidence.addCrash(evidence, now);
  state.quarantine.ownCrashes.addCrash({ crashId, evidence }, now);
  reportSoon(state);
}

/** True if a request that had brought nothing holds parts that are quarantined. */
export function isExplainedByParts(
  state: EntryState,
  { instance, unanswered = [] }: ConnectionLoss,
): boolean {
  const pool = state.backendServers.get(instance)?.platformInstance.pool ?? '';
  return unanswered.some(
    ({ parts }) => state.quarantine.quarantinedParts.endOf(pool, parts) !== undefined,
  );
}

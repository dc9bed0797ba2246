/**
 * Handles the report of another entry. Reports can be lost, repeated and reordered; only one that
 * is newer by incarnation and sequence is applied.
 */
import type { EntryReport } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { updateLimitersFromReport } from '../limits/updateLimitersFromReport.js';
import { receivePartReport } from '../quarantine/parts/receivePartReport.js';
import { receiveQuarantine } from '../quarantine/quarantineDigest.js';
import { receiveReportedRejections } from '../statements/receiveRejection.js';
import { receiveReportedStatements } from '../statements/receiveStatement.js';
import { recordReclaimNotice } from '../reclaims/recordReclaimNotice.js';

function isNewer(report: EntryReport, known: EntryReport | undefined): boolean {
  if (known === undefined) return true;
  return (
    report.incarnation > known.incarnation ||
    (report.incarnation === known.incarnation && report.sequence > known.sequence)
  );
}

export function receivePeerReport(
  state: EntryState,
  report: EntryReport,
  timestamps: Timestamps,
): EntryEffect[] {
  if (report.instance === state.identity.instance) return [];
  updateLimitersFromReport(state, report, timestamps.now);
  const known = state.membership.peers.get(report.instance);
  if (!isNewer(report, known?.report)) return [];
  state.membership.peers.set(report.instance, {
    report,
    receivedAt: timestamps.now,
    isReachable: true,
  });
  state.quarantine.peerSuspects.replace(report.instance, report.suspects);
  receivePartReport(state, report, timestamps.now);
  const quarantine = report.suspects.flatMap(({ digest, quarantinedUntil: until }) =>
    until === undefined ? [] : [{ digest, until }],
  );
  const leaving = Object.entries(report.leavingBackendServers).flatMap(([instance, goneAt]) =>
    recordReclaimNotice(state, instance, goneAt, timestamps),
  );
  return [
    ...leaving,
    ...receiveReportedStatements(state, report),
    ...receiveReportedRejections(state, report),
    ...receiveQuarantine(state, quarantine, timestamps),
  ];
}

/**
 * Leaves out of a report what another entry reports already. All entries learn the same of all backend
 * servers; if each of them repeated all of it each second, the reports would grow with entries times
 * servers and fill the links. So what several entries know is reported by the one whose name sorts
 * first among those that are reachable, and by any other that knows something newer.
 */
import type { EntryReport } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { livePeers } from './livePeers.js';

/** The last reports of the reachable entries whose names sort before that of this entry. */
export function listEarlierReports(state: EntryState): EntryReport[] {
  const { instance } = state.identity;
  return livePeers(state)
    .map(({ report }) => report)
    .filter((report) => report.instance < instance);
}

/**
 * @param known - What this entry knows, by key.
 * @param reported - What each of the other entries has reported.
 * @param isCovered - True if a reported value leaves nothing to add.
 */
export function omitReported<Value>(
  known: Readonly<Record<string, Value>>,
  reported: readonly Readonly<Record<string, Value>>[],
  isCovered: (own: Value, reportedValue: Value) => boolean,
): Record<string, Value> {
  const remaining = Object.entries(known).filter(
    ([key, own]) =>
      !reported.some((values) => {
        const reportedValue = values[key];
        return reportedValue !== undefined && isCovered(own, reportedValue);
      }),
  );
  return Object.fromEntries(remaining);
}

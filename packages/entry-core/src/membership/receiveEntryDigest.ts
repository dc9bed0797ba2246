/** Applies a store's digest of what all entries have reported since its previous digest. */
import type { EntryDigest } from '@hornbeampond/schema';
import { receiveWorkDigest } from '../backendServers/shareWork.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { receiveSpendingReport } from '../limits/updateLimitersFromReport.js';
import { receivePeerReport } from './receivePeerReport.js';

export function receiveEntryDigest(
  state: EntryState,
  digest: EntryDigest,
  isWhole: boolean,
  timestamps: Timestamps,
): EntryEffect[] {
  const effects = digest.reports.flatMap((report) => receivePeerReport(state, report, timestamps));
  digest.spending.forEach((spending) => receiveSpendingReport(state, spending, timestamps.now));
  receiveWorkDigest(state, digest, isWhole, timestamps.now);
  return effects;
}

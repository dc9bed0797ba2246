/** Applies what another entry reports of crashes and of sound parts. */
import type { EntryReport, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../../EntryState.js';
import { exonerateSuspectsAt } from '../suspects.js';

export function receivePartReport(
  state: EntryState,
  { crashEvidence = [], soundParts = [] }: EntryReport,
  now: MonotonicMilliseconds,
): void {
  const { partEvidence, quarantinedParts } = state.quarantine;
  soundParts.forEach((sound) => partEvidence.recordSound(sound));
  crashEvidence.forEach((evidence) => {
    partEvidence.addCrash(evidence, now);
    const { pool, backendServer, unanswered } = evidence;
    const isExplained = unanswered.some(
      ({ parts }) => quarantinedParts.endOf(pool, parts) !== undefined,
    );
    // Its other requests have not caused the crash.
    if (isExplained) exonerateSuspectsAt(state, new Set([backendServer]));
  });
}

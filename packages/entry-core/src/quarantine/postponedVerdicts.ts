/**
 * Verdicts on requests whose prompts have shared parts wait until the other entries have told what they
 * saw of the crash. A sound request that was beside such a part at two servers looks like the cause of
 * both crashes to an entry that does not know of the requests with the part.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { livePeers } from '../membership/livePeers.js';
import { convictRequest } from './convictRequest.js';
import { SETTLING_MILLISECONDS } from './parts/PartEvidence.js';

function hasSharedParts(state: EntryState, digest: string): boolean {
  return [...state.requests.values()].some(
    ({ request }) => request.digest === digest && (request.sharedParts?.length ?? 0) > 0,
  );
}

/** When the verdict on a request is due; undefined for at once. */
export function findVerdictTime(
  state: EntryState,
  digest: string,
  now: MonotonicMilliseconds,
): MonotonicMilliseconds | undefined {
  if (livePeers(state).length === 0 && state.quarantine.partEvidence.isEmpty) return undefined;
  if (!hasSharedParts(state, digest)) return undefined;
  return now + SETTLING_MILLISECONDS + state.workReports.longestTransit(now);
}

/** Tick handler: a request stays a suspect if a part that others hold may have caused the crash. */
export function decidePostponedVerdicts(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  const { postponedVerdicts, partEvidence, suspects } = state.quarantine;
  return [...postponedVerdicts].flatMap(([digest, { backendServer, crashId, dueAt }]) => {
    if (dueAt > timestamps.now) return [];
    postponedVerdicts.delete(digest);
    const isStillSuspect = suspects.has(digest);
    if (!isStillSuspect || partEvidence.hasRival(digest, backendServer)) return [];
    return convictRequest(state, digest, crashId, timestamps);
  });
}

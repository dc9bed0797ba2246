/**
 * What a crash means for the requests that were in progress there.
 *
 * Where exactly one of them was a suspect already, that one is named: it was in progress at two
 * crashes, and it is quarantined. Its neighbours there stay innocent, and so do all others of the
 * first crash.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { quarantineDigest } from './quarantineDigest.js';
import type { ConnectionLoss } from './QuarantineState.js';
import {
  announcementDelay,
  exonerateSuspectsOf,
  collectCrashIds,
  peerHasSuspectAt,
  findPriorSuspects,
  SUSPECT_LIFETIME_MILLISECONDS,
} from './suspects.js';

/** Clears those that were suspects only for the time of the probe, and tells how many lost theirs. */
export function removeProvisionalSuspects(state: EntryState, instance: string): number {
  const affected = [...state.quarantine.suspects.values()].filter(
    ({ lossInstance }) => lossInstance === instance,
  );
  affected.forEach((suspect) => {
    suspect.lossInstance = undefined;
    const isKept = suspect.crashIds.size > 0 || suspect.resetBefore === true;
    if (!isKept) state.quarantine.suspects.delete(suspect.digest);
  });
  return affected.length;
}

function addSuspects(
  state: EntryState,
  loss: ConnectionLoss,
  digests: string[],
  crashId: string,
  now: MonotonicMilliseconds,
): void {
  const until = loss.openedAt + SUSPECT_LIFETIME_MILLISECONDS;
  const heldUntil = now + announcementDelay(state);
  digests.forEach((digest) => {
    const crashIds = collectCrashIds(state, digest).add(crashId);
    const { exposure = 0, tokens = 0 } = loss.requestsInProgress.get(digest) ?? {};
    const suspect = {
      digest,
      crashIds,
      lossInstance: undefined,
      exposure,
      tokens,
      until,
      heldUntil,
    };
    state.quarantine.suspects.set(digest, suspect);
  });
}

/**
 * Reports the named request with each of its crashes, and nobody else. The store quarantines any digest
 * at its second crash; were all members of every crash reported, an innocent one that is in two by
 * chance would be quarantined everywhere.
 */
function proposeCrashReports(digest: string, crashIds: ReadonlySet<string>): EntryEffect[] {
  return [...crashIds].map((crashId) => {
    const backendServer = crashId.slice(0, crashId.lastIndexOf('/'));
    const command = { type: 'reportCrash', backendServer, crashId, digests: [digest] } as const;
    return { type: 'proposeCommand', command };
  });
}

/** Draws what follows for the requests that were in progress at a crash. */
export function attributeCrash(
  state: EntryState,
  loss: ConnectionLoss,
  crashId: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const priorSuspects = findPriorSuspects(state, loss, crashId);
  removeProvisionalSuspects(state, loss.instance);
  const poisonDigest = priorSuspects[0];
  // A peer's suspect ran there: the crash is that one's, as the peer will find.
  if (poisonDigest === undefined && peerHasSuspectAt(state, loss.instance)) return [];
  if (poisonDigest === undefined) {
    addSuspects(state, loss, [...loss.requestsInProgress.keys()], crashId, timestamps.now);
    return [];
  }
  if (priorSuspects.length > 1 || peerHasSuspectAt(state, loss.instance)) {
    addSuspects(state, loss, priorSuspects, crashId, timestamps.now);
    return [];
  }
  const crashIds = collectCrashIds(state, poisonDigest).add(crashId);
  exonerateSuspectsOf(state, crashIds);
  return [
    ...proposeCrashReports(poisonDigest, crashIds),
    ...quarantineDigest(state, poisonDigest, timestamps),
  ];
}

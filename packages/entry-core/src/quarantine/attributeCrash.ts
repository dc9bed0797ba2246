/**
 * Attributes a crash to one of the requests in progress on the server. If exactly one of them was
 * in progress at an earlier crash, it is quarantined, and suspects of no other crashes are
 * exonerated. If there are several, they remain suspects; if there is none, all requests become
 * suspects. If a peer ran a suspect there, this entry quarantines none.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { quarantineDigest } from './quarantineDigest.js';
import type { ConnectionLoss } from './QuarantineState.js';
import {
  getAnnouncementDelay,
  exonerateSuspectsOf,
  collectCrashIds,
  peerHasSuspectAt,
  findPriorSuspects,
  SUSPECT_LIFETIME_MILLISECONDS,
} from './suspects.js';

/**
 * Ends the suspicion that this loss alone caused; suspects of a crash or an earlier reset remain.
 * Returns the number of requests that were suspected because of the loss.
 */
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
  const heldUntil = now + getAnnouncementDelay(state);
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
 * Proposes one report for each crash of the identified request, listing no other digest. The store
 * quarantines a digest at its second reported crash; if all requests in progress were reported,
 * one that was in progress at two crashes by chance would be quarantined too.
 */
function proposeCrashReports(digest: string, crashIds: ReadonlySet<string>): EntryEffect[] {
  return [...crashIds].map((crashId) => {
    const backendServer = crashId.slice(0, crashId.lastIndexOf('/'));
    const command = { type: 'reportCrash', backendServer, crashId, digests: [digest] } as const;
    return { type: 'proposeCommand', command };
  });
}

/** Quarantines the request that caused the crash, or records suspects if it is not identified. */
export function attributeCrash(
  state: EntryState,
  loss: ConnectionLoss,
  crashId: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const priorSuspects = findPriorSuspects(state, loss, crashId);
  removeProvisionalSuspects(state, loss.instance);
  const poisonDigest = priorSuspects[0];
  // A peer runs a suspect on this server, and attributes the crash to that suspect.
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

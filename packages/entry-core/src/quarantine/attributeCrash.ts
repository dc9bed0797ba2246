/**
 * Attributes a crash to one of the requests that were in progress on the server. If exactly one of
 * them was also in progress at an earlier crash, it is quarantined, and all other suspects of
 * these crashes are exonerated. Otherwise the requests in progress become or stay suspects.
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
 * Removes suspects that are held only because of this loss. Returns how many requests the loss
 * affected.
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
 * Proposes one crash report for each crash of the identified request, listing no other digest. The
 * store quarantines a digest at its second reported crash, so an unrelated request that was in
 * progress at two crashes by chance would otherwise be quarantined too.
 */
function proposeCrashReports(digest: string, crashIds: ReadonlySet<string>): EntryEffect[] {
  return [...crashIds].map((crashId) => {
    const backendServer = crashId.slice(0, crashId.lastIndexOf('/'));
    const command = { type: 'reportCrash', backendServer, crashId, digests: [digest] } as const;
    return { type: 'proposeCommand', command };
  });
}

/** Returns the effects of a quarantine if the crash can be attributed to a single request. */
export function attributeCrash(
  state: EntryState,
  loss: ConnectionLoss,
  crashId: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const priorSuspects = findPriorSuspects(state, loss, crashId);
  removeProvisionalSuspects(state, loss.instance);
  const poisonDigest = priorSuspects[0];
  // A peer ran a suspect on this server: the peer attributes the crash to it.
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

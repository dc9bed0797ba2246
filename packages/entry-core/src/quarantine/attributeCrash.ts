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
import { isExplainedByParts } from './parts/recordCrashEvidence.js';
import { convictRequest } from './convictRequest.js';
import { findVerdictTime } from './postponedVerdicts.js';
import type { ConnectionLoss } from './QuarantineState.js';
import {
  getAnnouncementDelay,
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
  heldUntil = now + getAnnouncementDelay(state),
): void {
  const until = loss.openedAt + SUSPECT_LIFETIME_MILLISECONDS;
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

/** Quarantines the request that caused the crash, or records suspects if it is not identified. */
export function attributeCrash(
  state: EntryState,
  loss: ConnectionLoss,
  crashId: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const priorSuspects = findPriorSuspects(state, loss, crashId);
  removeProvisionalSuspects(state, loss.instance);
  if (isExplainedByParts(state, loss)) return [];
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
  const dueAt = findVerdictTime(state, poisonDigest, timestamps.now);
  if (dueAt === undefined) return convictRequest(state, poisonDigest, crashId, timestamps);
  addSuspects(state, loss, [poisonDigest], crashId, timestamps.now, dueAt);
  const verdict = { backendServer: loss.instance, crashId, dueAt };
  state.quarantine.postponedVerdicts.set(poisonDigest, verdict);
  return [];
}

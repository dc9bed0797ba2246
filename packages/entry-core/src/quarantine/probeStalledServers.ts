/**
 * Probes backend servers whose streams have stalled.
 *
 * A host that vanishes resets nothing: its streams just stop, and each would wait for its whole
 * silence time-out. The probe finds out sooner, and for all of them. An answer changes nothing: an engine
 * may pause to compute a long prompt, and a connection that has lost track of its ends still has
 * its own time-out.
 *
 * A stream that its caller holds up has not stalled. Probing for it would put all that runs at that
 * backend server at risk: on a busy instance one probe that is answered late reads as a crash.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { openLoss } from './openLoss.js';
import { probeBackendServer } from './probeBackendServer.js';

/** A stream that has given nothing for so long has stalled. */
const STALL_TIMEOUT_MILLISECONDS = 1500;

function isStalled(attempt: AttemptState, now: MonotonicMilliseconds): boolean {
  const { firstTokenAt, tokensUpdatedAt = firstTokenAt, stallProbedAt = 0, givenUp } = attempt;
  if (tokensUpdatedAt === undefined || givenUp || attempt.pausedByCaller === true) return false;
  return now - Math.max(tokensUpdatedAt, stallProbedAt) >= STALL_TIMEOUT_MILLISECONDS;
}

/** Backend servers with a stalled stream, of which nothing is known yet. */
function findStalledInstances(state: EntryState, now: MonotonicMilliseconds): Set<string> {
  const { unresolvedLosses, down } = state.quarantine;
  const instances = new Set<string>();
  state.attempts.forEach((attempt) => {
    const { instance } = attempt;
    if (!isStalled(attempt, now) || unresolvedLosses.has(instance) || down.has(instance)) return;
    attempt.stallProbedAt = now;
    if (!state.reclaims.leaving.has(instance)) instances.add(instance);
  });
  return instances;
}

export function probeStalledServers(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  return [...findStalledInstances(state, now)].flatMap((instance) => {
    openLoss(state, instance, now);
    return probeBackendServer(state, instance);
  });
}

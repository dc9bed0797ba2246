/**
 * Distinguishes a backend server that lost a connection from one that crashed and has already
 * restarted.
 */
import type { EntryState } from '../EntryState.js';
import type { ConnectionLoss } from './QuarantineState.js';
import { findPriorSuspects } from './suspects.js';

/** Outcome of a probe. */
export interface ProbeResult {
  readonly answered: boolean;
  readonly incarnation?: string;
}

/**
 * True if a backend server that answers its probe has crashed and restarted meanwhile. If
 * incarnations are missing, a restart is assumed if at least two and most of the requests in
 * progress lost their connection to a reset, if one of these had a reset before, or if a reset
 * occurred while a suspect of an earlier crash was in progress. A single request that crashes a
 * server without incarnations is therefore detected one crash later.
 */
export function hasRestarted(
  state: EntryState,
  loss: ConnectionLoss,
  { incarnation }: ProbeResult,
): boolean {
  const lastIncarnation = state.quarantine.incarnations.get(loss.instance);
  if (lastIncarnation !== undefined && incarnation !== undefined)
    return lastIncarnation !== incarnation;
  if (loss.resetDigests.size === 0) return false;
  // What was reset with the path says nothing about the server.
  if (state.paths.lost.has(loss.instance)) return false;
  const isMajorityReset =
    loss.resetDigests.size > 1 && loss.resetDigests.size * 2 > loss.requestsInProgress.size;
  const hasRepeatedReset = [...loss.resetDigests].some(
    (digest) => state.quarantine.suspects.get(digest)?.resetBefore === true,
  );
  return isMajorityReset || hasRepeatedReset || findPriorSuspects(state, loss).length > 0;
}

/**
 * Marks requests whose connection was reset although the backend server did not crash, and lifts
 * their isolation.
 */
export function recordResetsWithoutCrash(state: EntryState, loss: ConnectionLoss): void {
  loss.resetDigests.forEach((digest) => {
    const suspect = state.quarantine.suspects.get(digest);
    if (suspect === undefined) return;
    suspect.isolationLifted = true;
    suspect.resetBefore = true;
  });
}

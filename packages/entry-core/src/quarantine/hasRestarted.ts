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
 * True if a server that answers its probe has crashed and restarted meanwhile. A changed
 * incarnation shows it. Without incarnations it is assumed if most connections were reset
 * together, or if a reset request was a suspect or had been reset before. A poison request that
 * runs alone on such a server is therefore detected one crash later.
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
  const isMajorityReset =
    loss.resetDigests.size > 1 && loss.resetDigests.size * 2 > loss.requestsInProgress.size;
  const hasRepeatedReset = [...loss.resetDigests].some(
    (digest) => state.quarantine.suspects.get(digest)?.resetBefore === true,
  );
  return isMajorityReset || hasRepeatedReset || findPriorSuspects(state, loss).length > 0;
}

/** Marks the requests whose connection was reset although the backend server answered its probe. */
export function recordResetsWithoutCrash(state: EntryState, loss: ConnectionLoss): void {
  loss.resetDigests.forEach((digest) => {
    const suspect = state.quarantine.suspects.get(digest);
    if (suspect === undefined) return;
    suspect.isolationLifted = true;
    suspect.resetBefore = true;
  });
}

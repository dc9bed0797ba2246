/**
 * Tells a backend server that lost a connection from one that crashed and is back already.
 */
import type { EntryState } from '../EntryState.js';
import type { ConnectionLoss } from './QuarantineState.js';
import { findPriorSuspects } from './suspects.js';

/** What a probe's answer says. */
export interface ProbeResult {
  readonly answered: boolean;
  readonly incarnation?: string;
}

/**
 * A backend server that answers can still have crashed and been restarted within the probe. Its
 * incarnation tells; without one, it is taken for restarted if most connections were reset at once,
 * or if one that was reset carried a suspect of an earlier crash, or was reset once before. A bad
 * request that is alone on engines that restart at once costs one more of them for that.
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

/** Remembers whose connection was reset although the backend server answers. */
export function recordResets(state: EntryState, loss: ConnectionLoss): void {
  loss.resetDigests.forEach((digest) => {
    const suspect = state.quarantine.suspects.get(digest);
    if (suspect === undefined) return;
    suspect.isolationLifted = true;
    suspect.resetBefore = true;
  });
}

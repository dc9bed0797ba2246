/**
 * Probes backend servers whose streams have stalled. A host that disappears resets no connections,
 * and a probe detects it sooner than the idle time-out of each stream. A stream that its caller
 * has paused does not count: if the probe timed out, the server would be considered crashed and
 * its streams would be failed.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { addUnresolvedLoss } from './addUnresolvedLoss.js';
import { probeBackendServer } from './probeBackendServer.js';

/**
 * A stream has stalled if it delivers no token for this long; it is probed again after the same
 * time.
 */
const STALL_TIMEOUT_MILLISECONDS = 1500;

function isStalled(attempt: AttemptState, now: MonotonicMilliseconds): boolean {
  const { firstTokenAt, tokensUpdatedAt = firstTokenAt, stallProbedAt = 0, givenUp } = attempt;
  if (tokensUpdatedAt === undefined || givenUp || attempt.pausedByCaller === true) return false;
  return now - Math.max(tokensUpdatedAt, stallProbedAt) >= STALL_TIMEOUT_MILLISECONDS;
}

/**
 * Returns the backend servers to probe: those with a stalled stream that are not being probed,
 * down or leaving. Records the time of the probe in the stalled attempts.
 */
function collectInstancesToProbe(state: EntryState, now: MonotonicMilliseconds): Set<string> {
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
  return [...collectInstancesToProbe(state, now)].flatMap((instance) => {
    addUnresolvedLoss(state, instance, now);
    return probeBackendServer(state, instance);
  });
}

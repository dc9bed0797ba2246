/**
 * Probes backend servers whose streams have stalled. A host that disappears resets no connections,
 * and a probe detects it sooner than the idle time-out of each stream. A stalled stream is
 * recorded as an unresolved connection loss until the probe is answered or times out. A stream
 * that its caller has paused does not count, since no tokens are expected from it.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { isWithinRateLimit } from '../statements/rateAllowance.js';
import { isResting } from '../statements/restAllowance.js';
import { addUnresolvedLoss } from './addUnresolvedLoss.js';
import { probeBackendServer } from './probeBackendServer.js';

/**
 * Time without a token, after the first one, at which a stream counts as stalled; also the minimum
 * interval between probes because of the same stream.
 */
const STALL_TIMEOUT_MILLISECONDS = 1500;

function isStalled(attempt: AttemptState, now: MonotonicMilliseconds): boolean {
  const {
    firstTokenAt,
    tokensUpdatedAt = firstTokenAt,
    stallProbedAt = 0,
    timedOut: givenUp,
  } = attempt;
  if (tokensUpdatedAt === undefined || givenUp || attempt.pausedByCaller === true) return false;
  return now - Math.max(tokensUpdatedAt, stallProbedAt) >= STALL_TIMEOUT_MILLISECONDS;
}

/**
 * Returns the backend servers with a stalled stream that are not being probed, down or leaving,, and
 * which want a probe: they are not resting, and within the limits on requests per second.
 * Also sets `stallProbedAt` of the stalled attempts, including those at leaving servers.
 */
function collectInstancesToProbe(state: EntryState, now: MonotonicMilliseconds): Set<string> {
  const { unresolvedLosses, down } = state.quarantine;
  const instances = new Set<string>();
  state.attempts.forEach((attempt) => {
    const { instance } = attempt;
    if (!isStalled(attempt, now) || unresolvedLosses.has(instance) || down.has(instance)) return;
    attempt.stallProbedAt = now;
    const server = state.backendServers.get(instance);
    if (state.reclaims.leaving.has(instance) || server === undefined) return;
    if (isResting(state, server) || !isWithinRateLimit(state, server)) return;
    instances.add(instance);
  });
  return instances;
}

export function probeStalledServers(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  return [...collectInstancesToProbe(state, now)].flatMap((instance) => {
    addUnresolvedLoss(state, instance, now);
    return probeBackendServer(state, instance);
  });
}

/**
 * Outlier ejection: a backend server that fails often gets no new work for a while. A server that
 * fails fast looks idle, so without ejection it would attract most of the work. At least half of
 * each group stays in use: when many servers fail at once, the cause is more likely the network or
 * the requests, and ejection must not empty the pool.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from './BackendServerState.js';
import type { CandidateGroup, PoolState } from './PoolState.js';

const MAX_CONSECUTIVE_FAILURES = 3;
const MAX_FAILED_FRACTION_OF_OUTCOMES = 0.5;
const MIN_OUTCOMES = 10;
/** A server with this many outcomes has its counts halved, so that recent outcomes weigh more. */
const MAX_OUTCOMES = 40;
const MIN_EJECTION_MILLISECONDS: Milliseconds = 5000;
const MAX_EJECTION_MILLISECONDS: Milliseconds = 60_000;
const MIN_IN_USE_FRACTION_OF_GROUP = 0.5;

function countMinServersInUse(group: CandidateGroup): number {
  return Math.ceil((group.candidates.length + group.ejected.size) * MIN_IN_USE_FRACTION_OF_GROUP);
}

function canEject(group: CandidateGroup): boolean {
  return group.candidates.length - 1 >= Math.max(1, countMinServersInUse(group));
}

function isOutlier({ balancing }: BackendServerState): boolean {
  if (balancing.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) return true;
  const outcomes = balancing.successes + balancing.failures;
  return (
    outcomes >= MIN_OUTCOMES && balancing.failures / outcomes > MAX_FAILED_FRACTION_OF_OUTCOMES
  );
}

function resetOutcomes({ balancing }: BackendServerState): void {
  balancing.consecutiveFailures = 0;
  balancing.successes = 0;
  balancing.failures = 0;
}

function reinstate(
  group: CandidateGroup,
  server: BackendServerState,
  now: MonotonicMilliseconds | undefined,
): void {
  group.ejected.delete(server);
  server.balancing.ejectedUntil = undefined;
  if (now !== undefined) server.balancing.slowStartAt = now;
  resetOutcomes(server);
  group.addCandidate(server);
}

/** Counts the outcomes of a server anew, and reinstates it if it was ejected for them. */
export function forgetFailures(pool: PoolState, server: BackendServerState): void {
  const group = pool.groupOf(server);
  resetOutcomes(server);
  if (group.ejected.has(server)) reinstate(group, server, undefined);
}

/** Reinstates ejected servers while too few are in use, for example after others have left. */
export function enforceMinServersInUse(group: CandidateGroup): void {
  for (const server of group.ejected) {
    if (group.candidates.length >= countMinServersInUse(group)) return;
    reinstate(group, server, undefined);
  }
}

/** Reinstates servers whose ejection has expired; they begin with slow start. */
export function endExpiredEjections(pool: PoolState, now: MonotonicMilliseconds): void {
  for (const group of pool.groups) {
    for (const server of group.ejected) {
      if ((server.balancing.ejectedUntil ?? 0) <= now) reinstate(group, server, now);
    }
    enforceMinServersInUse(group);
  }
}

function decayOutcomes({ balancing }: BackendServerState): void {
  if (balancing.successes + balancing.failures < MAX_OUTCOMES) return;
  balancing.successes /= 2;
  balancing.failures /= 2;
}

export function recordSuccess(server: BackendServerState): void {
  const { balancing } = server;
  decayOutcomes(server);
  balancing.consecutiveFailures = 0;
  balancing.successes += 1;
  if (balancing.successes >= MIN_OUTCOMES) balancing.consecutiveEjections = 0;
}

/** Counts a failure; returns true if the server was ejected for it. */
export function recordFailure(
  pool: PoolState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): boolean {
  const { balancing } = server;
  decayOutcomes(server);
  balancing.consecutiveFailures += 1;
  balancing.failures += 1;
  const group = pool.groupOf(server);
  if (balancing.candidateIndex === undefined || !isOutlier(server) || !canEject(group))
    return false;
  const duration = MIN_EJECTION_MILLISECONDS * 2 ** balancing.consecutiveEjections;
  balancing.consecutiveEjections += 1;
  balancing.ejectedUntil = now + Math.min(duration, MAX_EJECTION_MILLISECONDS);
  group.removeCandidate(server);
  group.ejected.add(server);
  return true;
}

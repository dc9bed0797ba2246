/**
 * Keeps new work from backend servers that fail far more than their pool, for a while. A server
 * that fails fast looks idle, so without this it would draw most of the work and fail it. Yet
 * when many fail at once the cause is seldom the servers: ejection stops at a floor of half of
 * each group, so that a fault of the network or of the requests never empties a pool.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from './BackendServerState.js';
import type { CandidateGroup, PoolState } from './PoolState.js';

const MOST_CONSECUTIVE_FAILURES = 3;
const MOST_ERROR_SHARE = 0.5;
const LEAST_OUTCOMES = 10;
/** Outcomes after which all are halved, so that the error share is of late ones. */
const MOST_OUTCOMES = 40;
const FIRST_EJECTION_MILLISECONDS: Milliseconds = 5000;
const LONGEST_EJECTION_MILLISECONDS: Milliseconds = 60_000;
/** Share of a group that always stays in use. */
const FLOOR_SHARE = 0.5;

function floorOf(group: CandidateGroup): number {
  return Math.ceil((group.candidates.length + group.ejected.size) * FLOOR_SHARE);
}

function mayEject(group: CandidateGroup): boolean {
  return group.candidates.length - 1 >= Math.max(1, floorOf(group));
}

function isOutlier({ balancing: balance }: BackendServerState): boolean {
  if (balance.consecutiveFailures >= MOST_CONSECUTIVE_FAILURES) return true;
  const outcomes = balance.successes + balance.failures;
  return outcomes >= LEAST_OUTCOMES && balance.failures / outcomes > MOST_ERROR_SHARE;
}

function forgetOutcomes({ balancing: balance }: BackendServerState): void {
  balance.consecutiveFailures = 0;
  balance.successes = 0;
  balance.failures = 0;
}

function reinstate(
  group: CandidateGroup,
  server: BackendServerState,
  now: MonotonicMilliseconds | undefined,
): void {
  group.ejected.delete(server);
  server.balancing.ejectedUntil = undefined;
  if (now !== undefined) server.balancing.slowStartAt = now;
  forgetOutcomes(server);
  group.add(server);
}

/** Brings ejected servers back while fewer than the floor are in use, as when others have left. */
export function enforceMinServersInUse(group: CandidateGroup): void {
  for (const server of group.ejected) {
    if (group.candidates.length >= floorOf(group)) return;
    reinstate(group, server, undefined);
  }
}

/** Brings back those whose time is over; they start slowly. */
export function endExpiredEjections(pool: PoolState, now: MonotonicMilliseconds): void {
  for (const group of pool.groups) {
    for (const server of group.ejected) {
      if ((server.balancing.ejectedUntil ?? 0) <= now) reinstate(group, server, now);
    }
    enforceMinServersInUse(group);
  }
}

function halveOldOutcomes({ balancing: balance }: BackendServerState): void {
  if (balance.successes + balance.failures < MOST_OUTCOMES) return;
  balance.successes /= 2;
  balance.failures /= 2;
}

export function recordSuccess(server: BackendServerState): void {
  const { balancing: balance } = server;
  halveOldOutcomes(server);
  balance.consecutiveFailures = 0;
  balance.successes += 1;
  if (balance.successes >= LEAST_OUTCOMES) balance.consecutiveEjections = 0;
}

/** Counts a failure; true if the server was ejected for it. */
export function recordFailure(
  pool: PoolState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): boolean {
  const { balancing: balance } = server;
  halveOldOutcomes(server);
  balance.consecutiveFailures += 1;
  balance.failures += 1;
  const group = pool.groupOf(server);
  if (balance.candidateIndex === undefined || !isOutlier(server) || !mayEject(group)) return false;
  const span = FIRST_EJECTION_MILLISECONDS * 2 ** balance.consecutiveEjections;
  balance.consecutiveEjections += 1;
  balance.ejectedUntil = now + Math.min(span, LONGEST_EJECTION_MILLISECONDS);
  group.remove(server);
  group.ejected.add(server);
  return true;
}

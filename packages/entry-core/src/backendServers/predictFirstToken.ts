/**
 * Predicts the time from sending a request to its first token at one backend server.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import type { PoolBalance } from './PoolBalance.js';
import { limitNow, slownessNow } from './ServerBalance.js';

/** Believed until the first delay has been seen. */
const FIRST_TOKEN_PRIOR_MILLISECONDS: Milliseconds = 50;

/** Prompt tokens whose prefill weighs as much as all that does not depend on the prompt. */
const TOKENS_PER_UNIT = 256;

/** Work before the first token, in units, when a share of the prompt is in the cache. */
export function promptUnits(request: CallerRequest, cachedShare: number): number {
  return 1 + (request.promptTokens * (1 - cachedShare)) / TOKENS_PER_UNIT;
}

/** What is usual in the pool for such a prompt, without any wait. */
export function usualFirstToken(
  pool: PoolBalance,
  request: CallerRequest,
  cachedShare: number,
  now: MonotonicMilliseconds,
): Milliseconds {
  const perUnit = pool.firstToken.value(now) ?? FIRST_TOKEN_PRIOR_MILLISECONDS;
  return perUnit * promptUnits(request, cachedShare);
}

/** What is left of the wait that the server's last report predicted. */
function reportedDelay(server: BackendServerState, now: MonotonicMilliseconds): Milliseconds {
  const { measuredAt } = server.balance;
  if (measuredAt === undefined) return 0;
  return Math.max(0, (server.load?.firstTokenDelay ?? 0) - (now - measuredAt));
}

export function predictFirstToken(
  state: EntryState,
  pool: PoolBalance,
  server: BackendServerState,
  { request, route }: RequestState,
): Milliseconds {
  const { now } = state.clocks;
  const share = pool.beliefs.shareAt(server, request.prefixDigests, now);
  const limit = limitNow(server.balance, now);
  const inProgress = estimateInProgress(state, server);
  const usual = usualFirstToken(pool, request, share, now) * slownessNow(server.balance, now);
  const crowded = usual * (1 + Math.min(1, inProgress / limit));
  const above = Math.max(0, inProgress + 1 - limit);
  const queued = (above * pool.serviceTime(route.name, now)) / limit;
  return Math.max(crowded, reportedDelay(server, now)) + queued;
}

/**
 * True if a prediction above the caller's patience may be a reason to refuse. What was learnt must
 * be young: a pool that refuses everything learns nothing, and one slow moment would close it for
 * good. So after a few seconds without a sample a request is let through to find out.
 */
export function isPredictionTrusted(
  pool: PoolBalance,
  server: BackendServerState,
  patience: Milliseconds,
  now: MonotonicMilliseconds,
): boolean {
  return pool.firstToken.isYoung(now) || reportedDelay(server, now) > patience;
}

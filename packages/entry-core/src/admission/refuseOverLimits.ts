/** Refuses requests beyond the allowance or the concurrency limit of their workspace. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';
import { checkAllowance } from '../limits/checkAllowance.js';
import { limitKey, limitOf } from '../limits/limitOf.js';
import type { RequestState } from '../requests/RequestState.js';
import { MAX_RETRY_AFTER_MILLISECONDS, assignRetryAfter } from './assignRetryAfter.js';
import type { EarlyRefusal } from './EarlyRefusal.js';

export function refuseOverAllowance(
  state: EntryState,
  accepted: RequestState,
): EarlyRefusal | undefined {
  const exceeded = checkAllowance(state, accepted);
  if (exceeded === undefined) return undefined;
  const detail = `Workspace "${accepted.request.workspace}" has spent its allowance`;
  const { retryAfterMilliseconds, facts, awaitsAcknowledgement } = exceeded;
  return {
    kind: 'allowanceSpent',
    detail,
    retryAfterMilliseconds,
    facts: { ...facts },
    awaitsAcknowledgement,
  };
}

export function refuseOverLimit(
  state: EntryState,
  { request, route, pool }: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const limit = limitOf(route, request.workspace);
  const key = limitKey(route.name, request.workspace);
  const { concurrencyLimiter: limiter } = state.limits;
  if (limiter.hasCapacity(key, limit, now)) return undefined;
  const detail = `Workspace "${request.workspace}" has ${limit} requests in progress`;
  const serviceTime = getPoolState(state, pool.name).estimateBusyServiceTime(route.name);
  const interval =
    limit === 0
      ? MAX_RETRY_AFTER_MILLISECONDS
      : serviceTime / Math.max(1, limiter.ownInProgress(key));
  const retryAfterMilliseconds = assignRetryAfter(state, `limit/${key}`, interval, interval, now);
  const facts = { limit, inProgress: limiter.ownInProgress(key) };
  return { kind: 'limitReached', detail, retryAfterMilliseconds, facts };
}

/**
 * Whether a request can be expected to end before the time limit of a shutdown, by what is known of
 * the duration of its route's answers, its number of tokens and its deadline.
 */
import type { LogFields, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { expectedFirstTokenDelay } from '../admission/predictWait.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';
import { getRouteDurations, getTokenDurations } from '../hedging/HedgingState.js';
import type { RequestState } from '../requests/RequestState.js';

/** Events are handled late, and the answer takes time to be read and sent. */
const MARGIN_MILLISECONDS: Milliseconds = 100;

interface DurationEstimate {
  readonly duration: Milliseconds;
  readonly basis: 'tokens' | 'route' | 'pool';
}

function estimateDuration(state: EntryState, accepted: RequestState): DurationEstimate {
  const { route, pool, request } = accepted;
  const perToken = getTokenDurations(state.hedging, route.name).readUsual();
  if (request.maxTokens > 0 && perToken !== undefined) {
    const firstToken = expectedFirstTokenDelay(state, accepted);
    return { duration: firstToken + request.maxTokens * perToken.percentile95, basis: 'tokens' };
  }
  const usual = getRouteDurations(state.hedging, route.name).readUsual();
  if (usual !== undefined) return { duration: usual.percentile95, basis: 'route' };
  const poolState = getPoolState(state, pool.name);
  return { duration: poolState.estimateBusyServiceTime(route.name), basis: 'pool' };
}

/** Why a request cannot be expected to end in time, for the log; undefined if it can. */
export function findShutdownConflict(
  state: EntryState,
  accepted: RequestState,
  wait: Milliseconds,
  now: MonotonicMilliseconds,
): LogFields | undefined {
  const { started, endAt } = state.shutdown;
  // A request that reaches its deadline first is not cut by the shutdown.
  if (!started || accepted.wholeAnswerDueAt <= endAt) return undefined;
  const { duration, basis } = estimateDuration(state, accepted);
  const timeLeft = endAt - now;
  if (wait + duration + MARGIN_MILLISECONDS <= timeLeft) return undefined;
  return {
    timeLeft: Math.round(timeLeft),
    predictedWait: Math.round(wait),
    usualDuration: Math.round(duration),
    durationBasis: basis,
  };
}

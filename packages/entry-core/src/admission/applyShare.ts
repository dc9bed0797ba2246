/**
 * Applies the shares of a contended pool to an arriving request. One that is beyond its share is
 * served only if a backend server has capacity for it now; otherwise it is refused, with a time for
 * its retry.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { cellKey } from '@hornbeampond/schema';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { findFraction, type PoolShares } from '../shares/computeShares.js';
import type { Return } from '../shares/RefusedCallers.js';
import { RetrySchedule } from '../shares/RetrySchedule.js';
import { ageOfSums } from '../shares/ShareState.js';
import { weightOfAge } from '../shares/weightOfAge.js';
import type { EarlyRefusal } from './EarlyRefusal.js';
import type { Placement } from './placeRequest.js';
import { countInProgress } from './reportUse.js';

const MILLISECONDS_PER_SECOND = 1000;

const MAX_LENT_FRACTION_OF_SLOTS = 0.95;

/** How a request relates to the share of its workspace and priority. */
export interface ShareDecision {
  readonly isWithin: boolean;
  /** True if the caller was told a later time for its retry. */
  readonly isEarly: boolean;
  /** Fraction of the arrivals that is admitted. */
  readonly fraction: number;
  readonly shares: PoolShares;
}

function callerOf({ request }: RequestState): string {
  return `${request.workspace}/${request.digest}`;
}

function isAdmitted(state: EntryState, key: string, fraction: number, returned: Return): boolean {
  if (returned === 'early') return false;
  if (returned === 'first') return state.shares.credits.admit(key, fraction);
  state.shares.credits.take(key);
  return true;
}

/** What admission decides by in a contended pool; undefined if it is not contended. */
function findContention(
  state: EntryState,
  { pool, route, request }: RequestState,
  now: MonotonicMilliseconds,
): Pick<ShareDecision, 'shares' | 'fraction'> | undefined {
  const shares = state.shares.pools.get(pool.name);
  const weight = weightOfAge(ageOfSums(state.shares, now));
  if (shares?.isContended !== true || weight === 0) return undefined;
  const fraction = findFraction(shares, route.priority, request.workspace);
  return { shares, fraction: 1 - weight * (1 - fraction) };
}

/** Decides by share; undefined if the pool is not contended. */
export function decideByShare(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): ShareDecision | undefined {
  const contention = findContention(state, accepted, now);
  if (contention === undefined) return undefined;
  const { shares, fraction } = contention;
  const { pool, route, request } = accepted;
  const { priority } = route;
  const { workspace } = request;
  const caller = callerOf(accepted);
  const returned = state.shares.refusedCallers.classify(caller, now);
  const key = `${pool.name}/${cellKey({ priority, workspace })}`;
  const isWithin = isAdmitted(state, key, fraction, returned);
  if (isWithin) state.shares.refusedCallers.forget(caller);
  return { isWithin, isEarly: returned === 'early', fraction, shares };
}

/**
 * True if a request beyond its share can be served with capacity that is free now. While nearly all
 * slots are taken, one that becomes free is left to the requests within their shares: a workspace
 * that asks for much would otherwise get most of them, since one of its requests is always there.
 */
export function canLend(
  state: EntryState,
  { pool }: RequestState,
  placement: Exclude<Placement, { type: 'none' }>,
): boolean {
  if (placement.type === 'wait') return placement.availableServer !== undefined;
  const slots = state.shares.pools.get(pool.name)?.slots ?? 0;
  const running = countInProgress(state, getPoolState(state, pool.name));
  return running < slots * MAX_LENT_FRACTION_OF_SLOTS;
}

function getSchedule(state: EntryState, pool: string): RetrySchedule {
  const schedule = state.shares.schedules.get(pool) ?? new RetrySchedule();
  state.shares.schedules.set(pool, schedule);
  return schedule;
}

/** Time between two requests of the workspace and priority that this entry admits. */
function estimateInterval(
  state: EntryState,
  { pool, route, request }: RequestState,
  fraction: number,
  now: MonotonicMilliseconds,
): Milliseconds {
  const rates = state.shares.arrivals.read(pool.name, now);
  const rate = rates.find(
    ({ priority, workspace }) => priority === route.priority && workspace === request.workspace,
  );
  return MILLISECONDS_PER_SECOND / ((rate?.offered ?? 0) * fraction);
}

function assignRetryAt(
  state: EntryState,
  accepted: RequestState,
  fraction: number,
  now: MonotonicMilliseconds,
): MonotonicMilliseconds {
  const { refusedCallers } = state.shares;
  const caller = callerOf(accepted);
  const known = refusedCallers.retryAt(caller);
  if (known !== undefined && refusedCallers.classify(caller, now) === 'early') return known;
  const { priority } = accepted.route;
  const interval = estimateInterval(state, accepted, fraction, now);
  const timeLeft = accepted.wholeAnswerDueAt - now;
  const schedule = getSchedule(state, accepted.pool.name);
  const retryAt = schedule.assign({ priority, interval, timeLeft }, now);
  refusedCallers.remember(caller, retryAt);
  return retryAt;
}

/**
 * The wait until the caller of a request that is refused for any reason of capacity is to retry;
 * undefined if the pool is not contended.
 */
export function scheduleRetry(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Milliseconds | undefined {
  const contention = findContention(state, accepted, now);
  if (contention === undefined) return undefined;
  return Math.ceil(Math.max(1, assignRetryAt(state, accepted, contention.fraction, now) - now));
}

export function refuseByShare(
  state: EntryState,
  accepted: RequestState,
  decision: ShareDecision,
  now: MonotonicMilliseconds,
): EarlyRefusal {
  const { shares, fraction, isEarly } = decision;
  const { pool, route, request } = accepted;
  const { priority } = route;
  const cell = shares.cells.get(cellKey({ priority, workspace: request.workspace }));
  const retryAt = assignRetryAt(state, accepted, fraction, now);
  return {
    kind: 'overloaded',
    detail: `Pool "${pool.name}" is contended, and the request is beyond its share`,
    retryAfterMilliseconds: Math.ceil(Math.max(1, retryAt - now)),
    isBeyondShare: true,
    isEarly,
    facts: {
      pool: pool.name,
      priority,
      fraction: Number(fraction.toFixed(3)),
      share: Math.round(cell?.share ?? 0),
      demand: Math.round(cell?.demand ?? 0),
      running: cell?.running ?? 0,
      poolSlots: Math.round(shares.slots),
      poolDemand: Math.round(shares.demand),
      poolRunning: shares.running,
      ageOfSums: ageOfSums(state.shares, now),
      isEarly,
    },
  };
}

/**
 * Predicts how long a request waits in the queue: the work that is served before it, divided by
 * the places of backend servers that this entry can count on. Entries of a data centre share its
 * backend servers, so each counts on its equal part.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { nextTokenDueAt } from '../backendServers/chooseBackendServer.js';
import { poolBalanceOf } from '../backendServers/poolBalanceOf.js';
import { usualFirstToken } from '../backendServers/predictFirstToken.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { poolQueueOf } from './AdmissionState.js';
import type { Waiting } from './FairQueue.js';

/** Places of backend servers that this entry can count on. */
export function countPlaces(state: EntryState, pool: string): number {
  const { limitSum } = poolBalanceOf(state, pool).home;
  return Math.max(1, limitSum / state.limits.ledger.entries);
}

export function makeWaiting(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): Waiting {
  const cost = poolBalanceOf(state, accepted.pool.name).serviceTime(accepted.route.name, now);
  return { accepted, dueAt: nextTokenDueAt(accepted), cost };
}

/** Wait in the queue until a backend server can be given the request. */
export function predictWait(state: EntryState, waiting: Waiting): Milliseconds {
  const pool = waiting.accepted.pool.name;
  const ahead = poolQueueOf(state, pool).workAhead(waiting);
  return (ahead + waiting.cost) / countPlaces(state, pool);
}

/** Time from being sent to the first token, as is usual in the pool. */
export function usualDelay(
  state: EntryState,
  { pool, request }: RequestState,
  now: MonotonicMilliseconds,
): Milliseconds {
  return usualFirstToken(poolBalanceOf(state, pool.name), request, 0, now);
}

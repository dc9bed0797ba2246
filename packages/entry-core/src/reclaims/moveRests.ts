/**
 * How often a backend server is ordered to move KV caches while its orders fail. Each order costs the
 * server time, and a run that one stops is lost unless its cache arrives. So a run gets few orders, with
 * growing rests between them. Other runs of the server have their turn meanwhile; only after several
 * failures in a row, which say something about the server and not about one run, its orders are spaced.
 */
import type { CacheMoveRefusalReason, Milliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';

/** Orders for one run at one server. */
const MAX_ORDERS = 3;

const FIRST_REST_MILLISECONDS: Milliseconds = 500;

const REST_GROWTH_FACTOR = 4;

/** With fewer failures in a row, the next order to the server follows at once. */
const FAILURES_BEFORE_SOURCE_RESTS = 3;

/** Does not grow: each stream of the server should have its turn within a short notice. */
const SOURCE_REST_MILLISECONDS: Milliseconds = 100;

export function countMoveRefusal(label: CacheMoveRefusalReason): EntryEffect {
  return { type: 'count', metric: 'cacheMovesRefused', label };
}

/** Records that an order for the run of this attempt has failed. */
export function recordFailedMove({ clocks }: EntryState, attempt: AttemptState): EntryEffect[] {
  const count = countFailedMoves(attempt) + 1;
  const rest = FIRST_REST_MILLISECONDS * REST_GROWTH_FACTOR ** (count - 1);
  const isUsedUp = count >= MAX_ORDERS;
  attempt.failedMoves = { count, restsUntil: isUsedUp ? Infinity : clocks.now + rest };
  return [countMoveRefusal(isUsedUp ? 'ordersUsedUp' : 'streamResting')];
}

export function isRestingFromMoves({ clocks }: EntryState, { failedMoves }: AttemptState): boolean {
  return failedMoves !== undefined && failedMoves.restsUntil > clocks.now;
}

export function countFailedMoves({ failedMoves }: AttemptState): number {
  return failedMoves?.count ?? 0;
}

/** Records that an order to this server has failed or is overdue. */
export function recordSourceFailure(
  { reclaims, clocks }: EntryState,
  instance: string,
): EntryEffect[] {
  const inRow = (reclaims.failuresBySource.get(instance)?.inRow ?? 0) + 1;
  const mustRest = inRow >= FAILURES_BEFORE_SOURCE_RESTS;
  const restsUntil = mustRest ? clocks.now + SOURCE_REST_MILLISECONDS : clocks.now;
  reclaims.failuresBySource.set(instance, { inRow, restsUntil });
  return mustRest ? [countMoveRefusal('sourceResting')] : [];
}

export function isSourceResting({ reclaims, clocks }: EntryState, instance: string): boolean {
  return (reclaims.failuresBySource.get(instance)?.restsUntil ?? -Infinity) > clocks.now;
}

/**
 * Tells the stores where streams began, so that any entry can continue them at the same version when
 * this one is gone. Streams of a pool whose servers are all of one version are told too: another version
 * may replace it while all entries that know where they began are down.
 */
import type { Milliseconds, MonotonicMilliseconds, StreamOrigin } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { ORIGIN_MARGIN_MILLISECONDS } from './StreamOrigins.js';

/** How long after its arrival the caller of a request may ask for the rest of its stream. */
function maxReturnTime({ request, arrivedAt, wholeAnswerDueAt }: RequestState): Milliseconds {
  return Math.max(wholeAnswerDueAt - arrivedAt, request.patience ?? 0) + ORIGIN_MARGIN_MILLISECONDS;
}

function shareWithStores(origins: readonly StreamOrigin[]): EntryEffect[] {
  return origins.length === 0 ? [] : [{ type: 'shareStreamOrigins', origins }];
}

/** Records where a stream began, with its first event. */
export function recordOrigin(
  state: EntryState,
  requestState: RequestState,
  { version }: AttemptState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  if (version === undefined || !requestState.route.idempotent) return [];
  const { requestId, workspace } = requestState.request;
  const pool = requestState.pool.name;
  const returnTime = maxReturnTime(requestState);
  const lifetime = requestState.arrivedAt + returnTime - now;
  const origin = { requestId, workspace, pool, version, lifetime };
  state.streamOrigins.record(origin, now);
  return shareWithStores([origin]);
}

/** Tells a store that has just become reachable, and may have started without what it kept. */
export function shareAllOrigins(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  return shareWithStores(state.streamOrigins.list(now));
}

/**
 * Decides where a request may go whose caller asks for the rest of a stream. The entry that relayed the
 * beginning may be another one, or be gone, so what this entry does not know it asks the stores, which
 * keep the origins of streams. A stream whose origin nobody knows goes on only if a single version can
 * have begun it: any server would continue it, also a wrong one. An entry knows that for a time of which
 * it, or a store before it, has received all lists.
 */
import type {
  LogFields,
  Milliseconds,
  MonotonicMilliseconds,
  Route,
  StreamOrigin,
} from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest, EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { listPools } from '../routing/choosePool.js';
import { ORIGIN_MARGIN_MILLISECONDS } from './StreamOrigins.js';

/** A store may learn the origin within this time, or a caller's other entry be reachable again. */
export const UNKNOWN_ORIGIN_RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

export type OriginResolution =
  /** No stream is taken up, or the platform states no versions. */
  | { readonly type: 'any' }
  /** Nobody knows the origin, but only one version has been in use since `since`. */
  | {
      readonly type: 'onlyVersion';
      readonly since: MonotonicMilliseconds;
      readonly facts: LogFields;
    }
  | { readonly type: 'known'; readonly origin: StreamOrigin; readonly facts: LogFields }
  /** The stores have to be asked. */
  | { readonly type: 'ask'; readonly firstRequestId: string }
  | { readonly type: 'refused'; readonly detail: string; readonly facts: LogFields };

export interface RequestAwaitingOrigin {
  readonly request: CallerRequest;
  readonly firstRequestId: string;
  readonly arrivedAt: MonotonicMilliseconds;
}

const ANY: OriginResolution = { type: 'any' };

function refuseUnknown(facts: LogFields): OriginResolution {
  return { type: 'refused', detail: 'It is not known which version began the stream', facts };
}

/** How long ago a stream may have begun whose caller has not given up yet. */
function maxStreamAge({ deadline }: Route, patience: Milliseconds = 0): Milliseconds {
  return Math.max(deadline.wholeAnswerMilliseconds, patience) + ORIGIN_MARGIN_MILLISECONDS;
}

export function resolveOrigin(
  state: EntryState,
  { resumption, workspace, patience }: CallerRequest,
  route: Route,
  now: MonotonicMilliseconds,
): OriginResolution {
  if (resumption === undefined || !route.idempotent) return ANY;
  const pools = listPools(route);
  const statedPools = pools.filter((pool) => state.versions.mayBeStated(pool));
  if (statedPools.length === 0) return ANY;
  const { firstRequestId } = resumption;
  let isConclusive = false;
  if (firstRequestId !== undefined) {
    const origin = state.streamOrigins.find(firstRequestId, workspace, now);
    if (origin !== undefined && pools.includes(origin.pool)) {
      const { pool, version } = origin;
      return { type: 'known', origin, facts: { pool, version } };
    }
    if (origin !== undefined) {
      const detail = `The stream began in pool "${origin.pool}"`;
      return { type: 'refused', detail, facts: { pool: origin.pool } };
    }
    const unknown = state.streamOrigins.findUnknown(firstRequestId, now);
    if (unknown === undefined) return { type: 'ask', firstRequestId };
    isConclusive = unknown.isConclusive;
  }
  // Out of touch, with an old list: other entries may have begun streams at a version unknown here.
  const mayMissVersion = !isConclusive && !state.versions.isCurrent(now);
  const since = now - maxStreamAge(route, patience);
  const unclearPool = statedPools.find(
    (pool) => mayMissVersion || state.versions.findOnlyVersion(pool, since) === undefined,
  );
  const [firstPool = ''] = statedPools;
  const facts = {
    ...state.versions.describeVersions(unclearPool ?? firstPool, since, now),
    isConclusive,
  };
  return unclearPool === undefined ? { type: 'onlyVersion', since, facts } : refuseUnknown(facts);
}

/** Holds a request until the stores have answered. */
export function awaitOrigin(state: EntryState, awaiting: RequestAwaitingOrigin): EntryEffect[] {
  const { request, firstRequestId } = awaiting;
  const { requestId } = request;
  state.requestsAwaitingOrigin.set(requestId, awaiting);
  return [
    { type: 'findStreamOrigin', requestId, firstRequestId },
    { type: 'log', event: 'requestAwaitsOrigin', fields: { requestId, resumes: firstRequestId } },
  ];
}

/** Takes back a request for which the stores have answered, and records what they know. */
export function receiveOrigin(
  state: EntryState,
  { requestId, origin, isConclusive, now }: Extract<EntryEvent, { type: 'streamOriginAnswered' }>,
): RequestAwaitingOrigin | undefined {
  const awaiting = state.requestsAwaitingOrigin.get(requestId);
  if (awaiting === undefined) return undefined;
  state.requestsAwaitingOrigin.delete(requestId);
  if (origin !== undefined) state.streamOrigins.record(origin, now);
  // Also if it is of another workspace, which is then refused like one that nobody knows.
  state.streamOrigins.recordUnknown(awaiting.firstRequestId, isConclusive, now);
  return awaiting;
}

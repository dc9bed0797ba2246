/**
 * Decides where a request may go whose caller asks for the rest of a stream. The entry that relayed the
 * beginning may be another one, or be gone, so what this entry does not know it asks the stores, which
 * keep the origins of streams. A stream whose origin nobody knows goes on only if a single version can
 * have begun it: any server would continue it, also a wrong one. An entry knows that for a time of which
 * it, or a store before it, has received all lists, up to the last list that it has read itself. That one
 * has to be asked for after the caller has asked: an earlier list may lack the version that began the
 * stream, and a list that another process has read may be older than it looks.
 */
import type {
  LogFields,
  Milliseconds,
  MonotonicMilliseconds,
  Route,
  StreamOrigin,
} from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { listPools } from '../routing/choosePool.js';
import type { TakeUp } from './heldTakeUps.js';
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
      /** The pool that began the stream, if only one can have. */
      readonly pool: string | undefined;
      readonly facts: LogFields;
    }
  | { readonly type: 'known'; readonly origin: StreamOrigin; readonly facts: LogFields }
  /** The stores have to be asked. */
  | { readonly type: 'askStores'; readonly firstRequestId: string }
  /** A new list has to be read, to see whether a version has joined. */
  | { readonly type: 'readList' }
  | { readonly type: 'refused'; readonly detail: string; readonly facts: LogFields };

const ANY: OriginResolution = { type: 'any' };

function refuseUnknown(facts: LogFields): OriginResolution {
  return { type: 'refused', detail: 'It is not known which version began the stream', facts };
}

/** How long ago a stream may have begun whose caller has not given up yet. */
function maxStreamAge({ deadline }: Route, patience: Milliseconds = 0): Milliseconds {
  return Math.max(deadline.wholeAnswerMilliseconds, patience) + ORIGIN_MARGIN_MILLISECONDS;
}

/** Undefined if this entry does not know the origin. */
function findKnown(
  state: EntryState,
  { resumption, workspace }: CallerRequest,
  pools: readonly string[],
): OriginResolution | undefined {
  const { firstRequestId = '' } = resumption ?? {};
  const origin = state.streamOrigins.find(firstRequestId, workspace, state.clocks.now);
  if (origin === undefined) return undefined;
  const { pool, version } = origin;
  if (pools.includes(pool)) return { type: 'known', origin, facts: { pool, version } };
  return { type: 'refused', detail: `The stream began in pool "${pool}"`, facts: { pool } };
}

/** Decides on a stream whose origin nobody knows, by the versions that its pools have had. */
function resolveByVersions(
  { versions, clocks: { now } }: EntryState,
  pools: readonly string[],
  maxAge: Milliseconds,
  { askedAt, isListUnread = false, isConclusive = false }: TakeUp,
): OriginResolution {
  const since = askedAt - maxAge;
  const usedPools = pools.filter((pool) => !versions.isUnusedSince(pool, since));
  const isListOld = !versions.isReadSince(askedAt);
  const unclearPool = (usedPools.length === 0 ? pools : usedPools).find(
    (pool) => versions.findOnlyVersion(pool, since) === undefined,
  );
  if (unclearPool === undefined && isListOld && !isListUnread) return { type: 'readList' };
  const [firstPool = '', ...otherPools] = usedPools;
  const facts = {
    ...versions.describeVersions(unclearPool ?? firstPool, since, now),
    isConclusive,
    isListOld,
  };
  const isOnlyVersion = unclearPool === undefined && !isListOld;
  if (!isOnlyVersion) return refuseUnknown(facts);
  const pool = otherPools.length === 0 ? firstPool : undefined;
  return { type: 'onlyVersion', since, pool, facts };
}

export function resolveOrigin(
  state: EntryState,
  request: CallerRequest,
  route: Route,
  takeUp: TakeUp,
): OriginResolution {
  const { resumption, patience } = request;
  if (resumption === undefined || !route.idempotent) return ANY;
  const pools = listPools(route);
  const statedPools = pools.filter((pool) => state.versions.mayBeStated(pool));
  if (statedPools.length === 0) return ANY;
  const known = findKnown(state, request, pools);
  if (known !== undefined) return known;
  const { firstRequestId } = resumption;
  let { isConclusive } = takeUp;
  if (firstRequestId !== undefined && isConclusive === undefined) {
    // The stores may have answered a moment ago, when another request named this stream.
    const unknown = state.streamOrigins.findUnknown(firstRequestId, state.clocks.now);
    if (unknown === undefined) return { type: 'askStores', firstRequestId };
    isConclusive = unknown.isConclusive;
  }
  const maxAge = maxStreamAge(route, patience);
  return resolveByVersions(state, statedPools, maxAge, {
    ...takeUp,
    ...(isConclusive === undefined ? {} : { isConclusive }),
  });
}

/**
 * Quarantines the digest of a request that crashed backend servers, or parts of prompts under which they
 * have crashed. Until the quarantine ends, such requests are failed and sent to no backend server.
 * Peers apply it when they receive the next report of this entry.
 */
import type { MonotonicMilliseconds, QuarantineRecord } from '@hornbeampond/schema';
import { cancelAttempt } from '../attempts/releaseAttempts.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';
import { parsePartKey } from './parts/partKey.js';
import { exonerateSuspectsOf, collectCrashIds } from './suspects.js';

/** How long a quarantine that this entry starts lasts, unless the store sets a later end. */
const LOCAL_QUARANTINE_MILLISECONDS = 600_000;

/**
 * Fails a request whose digest is now quarantined. The attempt of an idempotent request is
 * cancelled, since it may crash its backend server at any moment.
 */
function failQuarantinedRequest(
  state: EntryState,
  requestState: RequestState,
  endsAt: number,
  { now }: Timestamps,
) {
  const refusalCount = { type: 'count', metric: 'retriesRefused', label: 'quarantined' } as const;
  const detail = 'This request crashed backend servers and is quarantined for a limited time';
  const cancelled = requestState.route.idempotent ? cancelAttempt(state, requestState) : [];
  const problem = { retryAfterMilliseconds: endsAt - now };
  return [
    refusalCount,
    ...cancelled,
    ...failRequest(state, requestState, 'quarantined', detail, problem),
  ];
}

function failRequestsWith(
  state: EntryState,
  key: string,
  endsAt: number,
  timestamps: Timestamps,
): EntryEffect[] {
  const set = parsePartKey(key);
  const isAffected = ({ request: { digest, sharedParts = [] }, pool }: RequestState) =>
    set === undefined
      ? digest === key
      : set.pool === pool.name && set.parts.every((part) => sharedParts.includes(part));
  return [...state.requests.values()]
    .filter(isAffected)
    .flatMap((requestState) => failQuarantinedRequest(state, requestState, endsAt, timestamps));
}

function setQuarantine(state: EntryState, key: string, until: number, endsAt: number): void {
  state.quarantine.quarantined.set(key, { until, endsAt });
  state.quarantine.quarantinedParts.set(key, endsAt);
}

/** @param key - The digest of a request, or a name of parts; see `toPartKey`. */
export function quarantineKey(
  state: EntryState,
  key: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const endsAt = timestamps.now + LOCAL_QUARANTINE_MILLISECONDS;
  const until = timestamps.wallNow + LOCAL_QUARANTINE_MILLISECONDS;
  setQuarantine(state, key, until, endsAt);
  state.quarantine.suspects.delete(key);
  reportSoon(state);
  return [
    { type: 'log', event: 'requestQuarantined', fields: { digest: key, until } },
    ...failRequestsWith(state, key, endsAt, timestamps),
  ];
}

/** When the quarantine of a request ends; undefined if it is not quarantined. */
export function findQuarantineEnd(
  { quarantine }: EntryState,
  { request: { digest, sharedParts = [] }, pool }: RequestState,
): MonotonicMilliseconds | undefined {
  return (
    quarantine.quarantined.get(digest)?.endsAt ??
    quarantine.quarantinedParts.endOf(pool.name, sharedParts)
  );
}

/**
 * Applies the quarantines of the store or of a peer. They only add to or extend those of this
 * entry. Other suspects of the same crashes are exonerated.
 */
export function receiveQuarantine(
  state: EntryState,
  entries: readonly QuarantineRecord[],
  timestamps: Timestamps,
): EntryEffect[] {
  return entries.flatMap(({ digest, until }) => {
    const endsAt = timestamps.now + until - timestamps.wallNow;
    const existing = state.quarantine.quarantined.get(digest);
    if (endsAt <= timestamps.now || (existing !== undefined && existing.endsAt >= endsAt))
      return [];
    setQuarantine(state, digest, until, endsAt);
    exonerateSuspectsOf(state, collectCrashIds(state, digest));
    return failRequestsWith(state, digest, endsAt, timestamps);
  });
}

/**
 * Quarantines the digest of a request that crashed backend servers. Until the quarantine ends,
 * requests with this digest are failed and sent to no backend server. Peers apply it when they
 * receive the next report of this entry.
 */
import type { QuarantineRecord } from '@hornbeampond/schema';
import { cancelAttempt } from '../attempts/releaseAttempts.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { failRequest } from '../requests/endRequest.js';
import { determineRan } from '../requests/determineRan.js';
import type { RequestState } from '../requests/RequestState.js';
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
  const problem = { ran: determineRan(requestState), retryAfterMilliseconds: endsAt - now };
  return [
    refusalCount,
    ...cancelled,
    ...failRequest(state, requestState, 'quarantined', detail, problem),
  ];
}

function failRequestsWithDigest(
  state: EntryState,
  digest: string,
  endsAt: number,
  timestamps: Timestamps,
): EntryEffect[] {
  return [...state.requests.values()]
    .filter(({ request }) => request.digest === digest)
    .flatMap((requestState) => failQuarantinedRequest(state, requestState, endsAt, timestamps));
}

export function quarantineDigest(
  state: EntryState,
  digest: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const endsAt = timestamps.now + LOCAL_QUARANTINE_MILLISECONDS;
  const until = timestamps.wallNow + LOCAL_QUARANTINE_MILLISECONDS;
  state.quarantine.quarantined.set(digest, { until, endsAt });
  state.quarantine.suspects.delete(digest);
  reportSoon(state);
  return [
    { type: 'log', event: 'requestQuarantined', fields: { digest, until } },
    ...failRequestsWithDigest(state, digest, endsAt, timestamps),
  ];
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
    state.quarantine.quarantined.set(digest, { until, endsAt });
    exonerateSuspectsOf(state, collectCrashIds(state, digest));
    return failRequestsWithDigest(state, digest, endsAt, timestamps);
  });
}

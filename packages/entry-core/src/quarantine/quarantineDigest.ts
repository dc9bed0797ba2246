/**
 * Keeps a request that crashed backend servers from all of them for a while, at every entry.
 */
import type { QuarantineEntry } from '@hornbeampond/schema';
import { cancelAttempt } from '../attempts/releaseAttempts.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { failRequest } from '../requests/endRequest.js';
import { determineRan } from '../requests/determineRan.js';
import type { RequestState } from '../requests/RequestState.js';
import { exonerateSuspectsOf, collectCrashIds } from './suspects.js';

/** Until the store's own word on it comes, this entry keeps the digest out for so long. */
const LOCAL_QUARANTINE_MILLISECONDS = 600_000;

/**
 * Ends a request that is quarantined now. What runs is cancelled: it may take down its backend
 * server at any moment.
 */
function failQuarantinedRequest(
  state: EntryState,
  accepted: RequestState,
  endsAt: number,
  { now }: Timestamps,
) {
  const refusal = { type: 'count', metric: 'retriesRefused', label: 'quarantined' } as const;
  const detail = 'This request crashed backend servers and is kept from them for a while';
  const cancelled = accepted.route.idempotent ? cancelAttempt(state, accepted) : [];
  const problem = { ran: determineRan(accepted), retryAfterMilliseconds: endsAt - now };
  return [refusal, ...cancelled, ...failRequest(state, accepted, 'quarantined', detail, problem)];
}

function failRequestsWithDigest(
  state: EntryState,
  digest: string,
  endsAt: number,
  timestamps: Timestamps,
): EntryEffect[] {
  return [...state.requests.values()]
    .filter(({ request }) => request.digest === digest)
    .flatMap((accepted) => failQuarantinedRequest(state, accepted, endsAt, timestamps));
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

/** Takes in the store's list. It only adds: what this entry found itself stays in force. */
export function receiveQuarantine(
  state: EntryState,
  entries: readonly QuarantineEntry[],
  timestamps: Timestamps,
): EntryEffect[] {
  return entries.flatMap(({ digest, until }) => {
    const endsAt = timestamps.now + until - timestamps.wallNow;
    const known = state.quarantine.quarantined.get(digest);
    if (endsAt <= timestamps.now || (known !== undefined && known.endsAt >= endsAt)) return [];
    state.quarantine.quarantined.set(digest, { until, endsAt });
    exonerateSuspectsOf(state, collectCrashIds(state, digest));
    return failRequestsWithDigest(state, digest, endsAt, timestamps);
  });
}

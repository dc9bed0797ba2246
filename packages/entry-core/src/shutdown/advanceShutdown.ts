/**
 * Graceful stop. From its start the entry tells its peers that it leaves. Until `acceptUntil` it
 * still serves what the balancer sends, which has not seen the change of readiness yet: refusing
 * there would show callers a planned stop as an outage. Streams then run to their end; what is still
 * in progress shortly before the platform's limit gets a final answer that tells where to go on.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { failRequest } from '../requests/endRequest.js';
import { determineRan } from '../requests/determineRan.js';
import type { RequestState } from '../requests/RequestState.js';

/** A caller cut off by the limit may come back at once: another entry serves it. */
const RETRY_AFTER_MILLISECONDS = 100;

export function startShutdown(
  state: EntryState,
  event: Extract<EntryEvent, { type: 'shutdownStarted' }>,
): EntryEffect[] {
  state.shutdown.started = true;
  state.shutdown.acceptUntil = event.acceptUntil ?? event.now;
  state.shutdown.endAt = event.endAt ?? Number.POSITIVE_INFINITY;
  reportSoon(state);
  return advanceShutdown(state, event);
}

function failAtLimit(state: EntryState, accepted: RequestState): EntryEffect[] {
  const ran = determineRan(accepted);
  const detail = 'This instance has to stop now; send the request again to go on';
  const kind = ran === 'no' ? 'draining' : 'answerCut';
  const problem = { ran, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
  return failRequest(state, accepted, kind, detail, problem);
}

function failAllAtLimit(state: EntryState): EntryEffect[] {
  const requests = [...state.requests.values()];
  if (requests.length === 0) return [];
  return [
    { type: 'log', event: 'shutdownLimitReached', fields: { requests: requests.length } },
    ...requests.flatMap((accepted) => failAtLimit(state, accepted)),
  ];
}

export function advanceShutdown(state: EntryState, { now }: Timestamps): EntryEffect[] {
  const { shutdown } = state;
  if (!shutdown.started) return [];
  state.shuttingDown = shutdown.acceptUntil <= now;
  const effects = shutdown.endAt <= now ? failAllAtLimit(state) : [];
  // A claim whose end is not in the log yet would read `unknown` to a caller that sends it again.
  const claimsOpen = state.claims.size > 0 && now < shutdown.endAt;
  const inProgress = state.requests.size > 0 || claimsOpen;
  if (!state.shuttingDown || inProgress || shutdown.readyReported) return effects;
  shutdown.readyReported = true;
  return [...effects, { type: 'shutdownReady' }];
}

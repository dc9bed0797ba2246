/**
 * Records that a connection to a backend server was lost, refused or timed out, and probes the
 * server over a new connection. Until the probe is answered or times out, requests that lost an
 * open connection are suspects, so that one which crashes servers is not retried alongside others.
 */
import type { AttemptState } from '../attempts/AttemptState.js';
import type { AttemptFailedEvent } from '../attempts/failAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { addUnresolvedLoss, removeFromLoss } from './addUnresolvedLoss.js';
import { probeBackendServer } from './probeBackendServer.js';
import { SUSPECT_LIFETIME_MILLISECONDS } from './suspects.js';
import type { ConnectionLoss } from './QuarantineState.js';
import type { RequestState } from '../requests/RequestState.js';

/** Makes the request a suspect until the loss is classified. */
function addProvisionalSuspect(
  state: EntryState,
  { digest }: RequestState['request'],
  loss: ConnectionLoss,
  now: number,
) {
  const { suspects } = state.quarantine;
  const existing = suspects.get(digest);
  if (existing !== undefined) {
    existing.lossInstance = loss.instance;
    return;
  }
  const { exposure, tokens } = loss.requestsInProgress.get(digest) ?? { exposure: 0, tokens: 0 };
  const until = now + SUSPECT_LIFETIME_MILLISECONDS;
  const lossInstance = loss.instance;
  suspects.set(digest, {
    digest,
    crashIds: new Set(),
    lossInstance,
    exposure,
    tokens,
    until,
  });
}

/**
 * True if the backend server may have crashed. A refused connection counts too: a crashed server
 * without streams would otherwise remain the least loaded one and be chosen for every request.
 */
function needsProbe(failure: AttemptFailure): boolean {
  return failure === 'connectionLost' || failure === 'silent' || failure === 'connectFailed';
}

/** Must be called before the attempt is removed, while it still counts as in progress. */
export function recordLoss(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): EntryEffect[] {
  if (!needsProbe(event.failure)) return [];
  const { instance } = attempt;
  // A leaving server is expected to stop, and a server that is down has already been classified.
  if (state.reclaims.leaving.has(instance) || state.quarantine.down.has(instance)) return [];
  const existing = state.quarantine.unresolvedLosses.get(instance);
  const loss = existing ?? addUnresolvedLoss(state, instance, event.now);
  if (event.failure === 'connectionLost') loss.resetDigests.add(requestState.request.digest);
  // Several requests may be connecting to a server that has crashed already.
  if (event.failure === 'connectFailed') removeFromLoss(loss, attempt.attemptId);
  else addProvisionalSuspect(state, requestState.request, loss, event.now);
  // A resend through another entry must not run until the loss is classified.
  reportSoon(state);
  return existing === undefined ? probeBackendServer(state, instance) : [];
}

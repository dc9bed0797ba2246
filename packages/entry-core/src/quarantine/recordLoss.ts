/**
 * A connection to a backend server was lost or fell silent. What was lost, the connection or
 * the backend server, is known only from a probe over a new connection. Until then the requests
 * that lost theirs are taken for suspects, so that a request that crashes backend servers is not run
 * again beside the others; if the probe is answered they are cleared at once.
 */
import type { AttemptState } from '../attempts/AttemptState.js';
import type { AttemptFailedEvent } from '../attempts/failAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { openLoss } from './openLoss.js';
import { probeBackendServer } from './probeBackendServer.js';
import { SUSPECT_LIFETIME_MILLISECONDS } from './suspects.js';
import type { ConnectionLoss } from './QuarantineState.js';
import type { RequestState } from '../requests/RequestState.js';

/** Suspects the request for the time of the probe. */
function addProvisionalSuspect(
  state: EntryState,
  { digest }: RequestState['request'],
  loss: ConnectionLoss,
  now: number,
) {
  const { suspects } = state.quarantine;
  const known = suspects.get(digest);
  if (known !== undefined) {
    known.lossInstance = loss.instance;
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
 * A refused connection is probed too: the backend server may be dead with no stream on it to
 * tell, and every request would go on finding it the least loaded.
 */
function needsProbe(failure: AttemptFailure): boolean {
  return failure === 'connectionLost' || failure === 'silent' || failure === 'connectFailed';
}

/** Call it before the attempt is forgotten, while it still counts among those in progress. */
export function recordLoss(
  state: EntryState,
  accepted: RequestState,
  attempt: AttemptState,
  event: AttemptFailedEvent,
): EntryEffect[] {
  if (!needsProbe(event.failure)) return [];
  const { instance } = attempt;
  // Its end was announced: nothing to find out, and no request to suspect.
  if (state.reclaims.leaving.has(instance) || state.quarantine.down.has(instance)) return [];
  const known = state.quarantine.unresolvedLosses.get(instance);
  // A refused connection names no member: nothing of its request was sent.
  const excludedAttemptId = event.failure === 'connectFailed' ? attempt.attemptId : undefined;
  const loss = known ?? openLoss(state, instance, event.now, excludedAttemptId);
  if (event.failure === 'connectionLost') loss.resetDigests.add(accepted.request.digest);
  // A request of which nothing was sent cannot have caused anything.
  if (event.failure !== 'connectFailed')
    addProvisionalSuspect(state, accepted.request, loss, event.now);
  // A resend through another entry must not run while the probe is out.
  reportSoon(state);
  return known === undefined ? probeBackendServer(state, instance) : [];
}

/**
 * Starts the next attempt of a request, or ends the request if there is nowhere to try it.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { chooseBackendServer } from '../backendServers/chooseBackendServer.js';
import { failRequest } from '../requests/endRequest.js';
import type { RequestState } from '../requests/RequestState.js';

/** A stream that pauses for so long is taken for lost. */
const SILENCE_TIMEOUT_MILLISECONDS = 5000;

export function startAttempt(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const server = chooseBackendServer(state, accepted);
  if (server === undefined) {
    const ran = accepted.attemptsStarted === 0 ? 'no' : 'unknown';
    const detail = `Pool "${accepted.pool.name}" has no backend server left to try`;
    return failRequest(state, accepted, 'noBackendServer', detail, { ran });
  }
  const { requestId } = accepted.request;
  accepted.attemptsStarted += 1;
  const attemptId = `${requestId}.${accepted.attemptsStarted}`;
  const { instance, host, port } = server.listed;
  accepted.attemptId = attemptId;
  accepted.triedInstances.add(instance);
  server.attemptIds.add(attemptId);
  state.attempts.set(attemptId, { attemptId, requestId, instance, startedAt: now, sent: false });
  return [
    {
      type: 'startAttempt',
      requestId,
      attemptId,
      target: { instance, host, port, kind: accepted.pool.kind },
      resumeFromTokens: accepted.tokens,
      priority: accepted.route.priority,
      sendOnce: !accepted.route.idempotent,
      firstByteTimeout: Math.max(1, accepted.wholeAnswerDueAt - now),
      silenceTimeout: SILENCE_TIMEOUT_MILLISECONDS,
    },
    { type: 'log', event: 'attemptStarted', fields: { requestId, attemptId, instance } },
  ];
}

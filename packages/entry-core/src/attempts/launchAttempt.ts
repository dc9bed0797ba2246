/**
 * Starts an attempt of a request at a given backend server. Whether and where a request is tried is
 * decided by `startAttempt`.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import { describePrediction } from '../backendServers/predictFirstTokenDelay.js';
import { makeAttemptTarget } from '../backendServers/makeAttemptTarget.js';
import { attemptIdOf } from './AttemptState.js';
import { isSuspect } from '../quarantine/suspects.js';
import { estimatePrefillDuration } from '../reclaims/recoveryCosts.js';
import type { RequestState } from '../requests/RequestState.js';
import { earnRetries } from './retryBudget.js';

/** Engines start requests of any other priority first. */
const LOWEST_PRIORITY = 9;

/** A stream without data for this long is considered lost. */
const STREAM_IDLE_TIMEOUT_MILLISECONDS = 5000;

const MIN_FIRST_BYTE_TIMEOUT_MILLISECONDS = 1000;

/** An attempt may spend this fraction of the time until the first token is due without a byte. */
const MAX_FIRST_BYTE_FRACTION_OF_TIME_LEFT = 0.6;

/** How many times longer than estimated a prefill may take before the attempt times out. */
const MAX_PREFILL_SLOWDOWN = 3;

/**
 * How long to wait for the first byte. A call that cannot be retried may use all the time until its
 * deadline. Any other leaves time for another attempt before the first token is due, but allows for
 * the prefill of the prompt and, on a resume, of the tokens generated so far.
 */
function computeFirstByteTimeout(accepted: RequestState, now: MonotonicMilliseconds): Milliseconds {
  const timeUntilDeadline = Math.max(1, accepted.wholeAnswerDueAt - now);
  const isLastAttempt = accepted.attemptsStarted >= (accepted.route.mostAttempts ?? Infinity);
  if (!accepted.route.idempotent || isLastAttempt) return timeUntilDeadline;
  const allowedWait = (accepted.firstTokenDueAt - now) * MAX_FIRST_BYTE_FRACTION_OF_TIME_LEFT;
  const minTimeout =
    MIN_FIRST_BYTE_TIMEOUT_MILLISECONDS + estimatePrefillDuration(accepted) * MAX_PREFILL_SLOWDOWN;
  return Math.min(timeUntilDeadline, Math.max(minTimeout, allowedWait));
}

/** Counts the tokens that the engine has to recompute for this attempt. */
function countRecomputed(accepted: RequestState): EntryEffect[] {
  const { recompute } = accepted;
  accepted.recompute = undefined;
  if (recompute === undefined || recompute.tokens === 0) return [];
  const { workspace } = accepted.request;
  const { reason, tokens } = recompute;
  return [
    { type: 'count', metric: 'recomputedTokens', label: reason, amount: tokens },
    { type: 'count', metric: 'recomputedTokensByWorkspace', label: workspace, amount: tokens },
  ];
}

export function launchAttempt(
  state: EntryState,
  accepted: RequestState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { requestId } = accepted.request;
  const { instance } = server.platformInstance;
  const pool = getPoolState(state, accepted.pool.name);
  if (accepted.attemptsStarted === 0) earnRetries(state.retries, accepted.route.name, instance);
  accepted.attemptsStarted += 1;
  const attemptId = attemptIdOf(requestId, accepted.attemptsStarted);
  const resumeFromTokens = state.retries.policy.resumeFromOffset ? accepted.tokens : 0;
  accepted.attemptId = attemptId;
  accepted.waitingForServerSince = undefined;
  // Peers must know where a suspect runs before they place their own suspects.
  if (isSuspect(state, accepted.request.digest)) reportSoon(state);
  // Deleted first, so that the server tried last is always the last element.
  accepted.triedInstances.delete(instance);
  accepted.triedInstances.add(instance);
  state.retries.waiting.delete(requestId);
  server.attemptIds.add(attemptId);
  state.attempts.set(attemptId, {
    attemptId,
    requestId,
    instance,
    startedAt: now,
    resumedFromTokens: resumeFromTokens,
    sent: false,
    firstTokenAt: undefined,
    tokens: resumeFromTokens,
    tokensUpdatedAt: undefined,
    givenUp: false,
  });
  return [
    ...countRecomputed(accepted),
    {
      type: 'startAttempt',
      requestId,
      attemptId,
      target: makeAttemptTarget(server, accepted.pool),
      workspace: accepted.request.workspace,
      timeLeft: Math.max(1, accepted.wholeAnswerDueAt - now),
      resumeFromTokens,
      priority: accepted.isLate === true ? LOWEST_PRIORITY : accepted.route.priority,
      sendOnce: !accepted.route.idempotent,
      firstByteTimeout: computeFirstByteTimeout(accepted, now),
      streamIdleTimeout: STREAM_IDLE_TIMEOUT_MILLISECONDS,
    },
    {
      type: 'log',
      event: 'attemptStarted',
      fields: { requestId, attemptId, ...describePrediction(state, pool, server, accepted) },
    },
  ];
}

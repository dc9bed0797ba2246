/**
 * Learns from the edges of this entry's own attempts, before the attempt's own part of the
 * reducer handles them: delays, service times, failures, and which prompt prefixes are now where.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure, EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { RequestState } from '../requests/RequestState.js';
import { adaptConcurrency, lowerConcurrency, TOLERATED_SLOWNESS } from './adaptConcurrency.js';
import type { BackendServerState } from './BackendServerState.js';
import { noteFailure, noteSuccess } from './ejectOutliers.js';
import { estimateInProgress, rememberEnded } from './estimateInProgress.js';
import type { PoolBalance } from './PoolBalance.js';
import { poolBalanceOf } from './poolBalanceOf.js';
import { pendingTokens, uncachedTokens } from './predictFirstToken.js';
import { limitNow } from './ServerBalance.js';

/** All that one edge of an attempt is about. */
interface Observed {
  readonly attempt: AttemptState;
  readonly accepted: RequestState;
  readonly server: BackendServerState;
  readonly pool: PoolBalance;
  readonly now: MonotonicMilliseconds;
}

/** Failures that are the backend server's own, and neither the request's nor a full server's. */
const serversOwnFailures: readonly AttemptFailure[] = [
  'connectFailed',
  'serverError',
  'connectionLost',
  'silent',
  'malformed',
];

function observed(
  state: EntryState,
  attemptId: string,
  now: MonotonicMilliseconds,
): Observed | undefined {
  const attempt = state.attempts.get(attemptId);
  const accepted = attempt && state.requests.get(attempt.requestId);
  const server = attempt && state.backendServers.get(attempt.instance);
  if (attempt === undefined || accepted === undefined || server === undefined) return undefined;
  return { attempt, accepted, server, pool: poolBalanceOf(state, server.listed.pool), now };
}

/**
 * Weight of a first-token delay that shows a crowded server rather than what is usual. It is not
 * zero: when all servers of a pool have become slower, that is the usual then.
 */
const CROWDED_WEIGHT = 0.1;

function observeFirstToken(
  state: EntryState,
  { attempt, accepted, server, pool, now }: Observed,
): void {
  const pending = server.balance.pendingPrompts.get(attempt.attemptId);
  if (pending === undefined) return;
  server.balance.pendingPrompts.delete(attempt.attemptId);
  const delay = now - attempt.startedAt;
  const usual = pool.firstToken.predict(pending.tokensUntilFirst);
  const isUsual = adaptConcurrency(pool, server, delay, usual, now);
  const weight = isUsual ? 1 : CROWDED_WEIGHT;
  const learnt = Math.min(delay, TOLERATED_SLOWNESS * usual);
  pool.firstToken.learn(pending.tokensUntilFirst, learnt, now, weight);
  // The prompt has been computed here, so its prefixes are cached here; the engine's own event
  // will say so only later.
  const { prefixDigests } = accepted.request;
  pool.beliefs.believe(server, prefixDigests, now);
  state.peerWork.noteChange(server.listed.instance);
  // The last part of a prompt is its own; no other entry is asked for it.
  state.peerWork.noteComputed(server.listed.instance, prefixDigests.slice(0, -1));
}

function observeStart(state: EntryState, attemptId: string, now: MonotonicMilliseconds): void {
  const edge = observed(state, attemptId, now);
  if (edge === undefined || edge.server.balance.pendingPrompts.has(attemptId)) return;
  const { accepted, server, pool } = edge;
  pool.attemptIds.add(attemptId);
  pool.peak.see(pool.attemptIds.size, now);
  const tokens = uncachedTokens(pool, server, accepted.request, now);
  const tokensUntilFirst = pendingTokens(state, server) + tokens;
  pool.learnPrompt(accepted.route.name, tokens);
  server.balance.pendingPrompts.set(attemptId, { tokens, tokensUntilFirst });
  state.peerWork.noteChange(server.listed.instance);
}

function observeEnd({ attempt, server, pool, now }: Observed): void {
  pool.attemptIds.delete(attempt.attemptId);
  server.balance.pendingPrompts.delete(attempt.attemptId);
  rememberEnded(server, { startedAt: attempt.startedAt, endedAt: now });
}

/** A server with this share of its limit in progress is nearly as slow as in a rush. */
const FILLED_SHARE = 0.8;

function observeFinish(state: EntryState, edge: Observed): void {
  const { attempt, accepted, server, pool, now } = edge;
  observeEnd(edge);
  noteSuccess(server);
  const fullness = estimateInProgress(state, server) / limitNow(server.balance, now);
  const isFilled = fullness >= FILLED_SHARE;
  pool.learnServiceTime(accepted.route.name, now - attempt.startedAt, isFilled);
}

function observeFailure(edge: Observed, failure: AttemptFailure): EntryEffect[] {
  const { server, pool, now } = edge;
  observeEnd(edge);
  if (failure === 'busy') lowerConcurrency(pool, server, now);
  if (!serversOwnFailures.includes(failure)) return [];
  if (!noteFailure(pool, server, now)) return [];
  const { instance } = server.listed;
  const { ejectedUntil } = server.balance;
  return [
    { type: 'count', metric: 'ejections', label: failure },
    {
      type: 'log',
      event: 'backendServerEjected',
      fields: { backendServer: instance, failure, ejectedUntil },
    },
  ];
}

export function observeAttempt(state: EntryState, event: EntryEvent): EntryEffect[] {
  if (!('attemptId' in event) || event.attemptId === undefined) return [];
  const edge = observed(state, event.attemptId, event.now);
  if (edge === undefined) return [];
  if (event.type === 'firstTokenReceived') observeFirstToken(state, edge);
  if (event.type === 'attemptFinished') observeFinish(state, edge);
  if (event.type === 'attemptFailed') return observeFailure(edge, event.failure);
  return [];
}

/** Takes note of the attempts that the reducer has just started. */
export function observeStarts(
  state: EntryState,
  effects: readonly EntryEffect[],
  now: MonotonicMilliseconds,
): void {
  for (const effect of effects) {
    if (effect.type === 'startAttempt') observeStart(state, effect.attemptId, now);
  }
}

/** Lets go of attempts that ended without an edge of their own, as when they were cancelled. */
export function forgetEnded(state: EntryState): void {
  for (const pool of state.poolStates.values()) {
    for (const attemptId of pool.attemptIds) {
      if (!state.attempts.has(attemptId)) pool.attemptIds.delete(attemptId);
    }
  }
}

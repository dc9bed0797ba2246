/**
 * Learns from the edges of this entry's own attempts, before the attempt's own part of the
 * reducer handles them: delays, service times, failures, and which prompt prefixes are now where.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure, EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { RequestState } from '../requests/RequestState.js';
import { adaptConcurrency, lowerConcurrency } from './adaptConcurrency.js';
import type { BackendServerState } from './BackendServerState.js';
import { noteFailure, noteSuccess } from './ejectOutliers.js';
import { rememberEnded } from './estimateInProgress.js';
import type { PoolBalance } from './PoolBalance.js';
import { poolBalanceOf } from './poolBalanceOf.js';
import { promptUnits, usualFirstToken } from './predictFirstToken.js';

/** All that one edge of an attempt is about. */
interface Observed {
  readonly attempt: AttemptState;
  readonly accepted: RequestState;
  readonly server: BackendServerState;
  readonly pool: PoolBalance;
  readonly now: number;
}

/** Failures that are the backend server's own, and neither the request's nor a full server's. */
const serversOwnFailures: readonly AttemptFailure[] = [
  'connectFailed',
  'serverError',
  'connectionLost',
  'silent',
  'malformed',
];

function observed(state: EntryState, attemptId: string, now: number): Observed | undefined {
  const attempt = state.attempts.get(attemptId);
  const accepted = attempt && state.requests.get(attempt.requestId);
  const server = attempt && state.backendServers.get(attempt.instance);
  if (attempt === undefined || accepted === undefined || server === undefined) return undefined;
  return { attempt, accepted, server, pool: poolBalanceOf(state, server.listed.pool), now };
}

function observeFirstToken({ attempt, accepted, server, pool, now }: Observed): void {
  const { request } = accepted;
  const delay = now - attempt.startedAt;
  const share = pool.beliefs.shareAt(server, request.prefixDigests, now);
  adaptConcurrency(pool, server, delay, usualFirstToken(pool, request, share, now), now);
  pool.firstToken.learn(delay / promptUnits(request, share), now);
  // The prompt has been computed here, so its prefixes are cached here; the engine's own event
  // will say so only later.
  pool.beliefs.believe(server, request.prefixDigests, now);
}

function observeEnd({ attempt, server, now }: Observed): void {
  rememberEnded(server, { startedAt: attempt.startedAt, endedAt: now });
}

function observeFinish(edge: Observed): void {
  const { attempt, accepted, server, pool, now } = edge;
  observeEnd(edge);
  noteSuccess(server);
  pool.learnServiceTime(accepted.route.name, now - attempt.startedAt, now);
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
    { type: 'log', event: 'backendServerEjected', fields: { instance, failure, ejectedUntil } },
  ];
}

export function observeAttempt(state: EntryState, event: EntryEvent): EntryEffect[] {
  if (!('attemptId' in event) || event.attemptId === undefined) return [];
  const edge = observed(state, event.attemptId, event.now);
  if (edge === undefined) return [];
  if (event.type === 'firstTokenReceived') observeFirstToken(edge);
  if (event.type === 'attemptFinished') observeFinish(edge);
  if (event.type === 'attemptFailed') return observeFailure(edge, event.failure);
  return [];
}

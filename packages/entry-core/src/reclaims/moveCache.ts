/**
 * Moves of a running stream's KV cache to another backend server. The stream runs on at its source
 * until the cache is there; it then goes on at the target, where only the tokens that came after
 * the export are computed again.
 *
 * A place is reserved at the target from the start. Without it, each stream of a wave would find
 * the same server the least loaded, and that one would be flooded.
 */
import type { CacheMoveOutcome } from '@hornbeampond/schema';
import { attemptIdOf, type AttemptState } from '../attempts/AttemptState.js';
import { chooseServerForAttempt } from '../attempts/chooseServerForAttempt.js';
import { makeAttemptTarget } from '../backendServers/makeAttemptTarget.js';
import { removeCacheMove, reservationIdOf } from '../attempts/releaseAttempts.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { estimateMoveDuration } from './recoveryCosts.js';
import { migrateToServer, resumeElsewhere } from './resumeElsewhere.js';
import type { CacheMove } from './ReclaimState.js';

/** A move that takes this many times its costed span is taken for failed. */
const MOVE_TIMEOUT_FACTOR = 2;

/** Fewest milliseconds that a move is waited for. */
const MIN_MOVE_TIMEOUT_MILLISECONDS = 250;

export type CacheMovedEvent = Extract<EntryEvent, { type: 'cacheMoved' }>;

function countMove(outcome: CacheMoveOutcome): EntryEffect {
  return { type: 'count', metric: 'cacheMoves', label: outcome };
}

export function startCacheMove(
  state: EntryState,
  accepted: RequestState,
  { attemptId, instance }: AttemptState,
  { now }: Timestamps,
): EntryEffect[] {
  const { requestId } = accepted.request;
  const source = state.backendServers.get(instance);
  const target = chooseServerForAttempt(state, accepted, { spreadEvenly: true });
  if (source === undefined || target === undefined) return [];
  const timeout = Math.max(
    MIN_MOVE_TIMEOUT_MILLISECONDS,
    estimateMoveDuration(accepted) * MOVE_TIMEOUT_FACTOR,
  );
  const to = target.platformInstance.instance;
  const { tokens } = accepted;
  const move: CacheMove = {
    requestId,
    attemptId,
    from: instance,
    to,
    tokens,
    dueAt: now + timeout,
  };
  state.reclaims.moves.set(requestId, move);
  target.attemptIds.add(reservationIdOf(requestId));
  const from = makeAttemptTarget(source, accepted.pool);
  const nextAttemptId = attemptIdOf(requestId, accepted.attemptsStarted + 1);
  const toTarget = makeAttemptTarget(target, accepted.pool);
  return [{ type: 'moveCache', requestId, attemptId, nextAttemptId, from, to: toTarget }];
}

function findUsableServer(state: EntryState, instance: string): BackendServerState | undefined {
  const server = state.backendServers.get(instance);
  const { down, unresolvedLosses } = state.quarantine;
  const isUsable =
    server?.goneAt === undefined && !down.has(instance) && !unresolvedLosses.has(instance);
  return isUsable ? server : undefined;
}

/** Ends a move without a cache at the target: the stream is resumed by its offset. */
function abandonMove(
  state: EntryState,
  move: CacheMove,
  outcome: CacheMoveOutcome,
  timestamps: Timestamps,
): EntryEffect[] {
  const accepted = state.requests.get(move.requestId);
  removeCacheMove(state, move.requestId);
  if (accepted === undefined) return [];
  // The next place is sought elsewhere first: the target may be what failed.
  accepted.triedInstances.add(move.to);
  // What may not be repeated runs on where it is, for as long as it can.
  if (!accepted.route.idempotent) return [countMove(outcome)];
  return [countMove(outcome), ...resumeElsewhere(state, accepted, 'reclaimNotice', timestamps)];
}

/** An answer to a move that was abandoned meanwhile finds none, or another, and is dropped. */
export function finishCacheMove(state: EntryState, event: CacheMovedEvent): EntryEffect[] {
  const move = state.reclaims.moves.get(event.requestId);
  const accepted = state.requests.get(event.requestId);
  if (move === undefined || accepted === undefined) return [];
  if (event.attemptId !== undefined && event.attemptId !== move.attemptId) return [];
  if (!event.moved) return abandonMove(state, move, 'failed', event);
  const target = findUsableServer(state, move.to);
  if (target === undefined) return abandonMove(state, move, 'targetLost', event);
  const tokensToRecompute = Math.max(0, accepted.tokens - (event.tokens ?? move.tokens));
  return [
    { type: 'count', metric: 'retries', label: 'reclaimNotice' },
    countMove('moved'),
    ...migrateToServer(state, accepted, target, tokensToRecompute, event.now),
  ];
}

/** Abandons moves that are overdue, or whose target is leaving or lost. */
export function advanceCacheMoves(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  return [...state.reclaims.moves.values()].flatMap((move) => {
    if (findUsableServer(state, move.to) === undefined) {
      return abandonMove(state, move, 'targetLost', timestamps);
    }
    return move.dueAt > timestamps.now ? [] : abandonMove(state, move, 'failed', timestamps);
  });
}

/**
 * Moves the KV cache of a running stream to another backend server. The stream continues at its
 * source until the cache has arrived, then at the target, which only recomputes the tokens
 * generated after the export. Capacity is reserved at the target when the move starts: otherwise
 * all streams of a reclaim would choose the same least loaded server.
 */
import type { CacheMoveOutcome } from '@hornbeampond/schema';
import { attemptIdOf, type AttemptState } from '../attempts/AttemptState.js';
import { chooseServerForAttempt } from '../attempts/chooseServerForAttempt.js';
import { makeAttemptTarget } from '../backendServers/makeAttemptTarget.js';
import { removeCacheMove, reservationIdOf } from '../attempts/releaseAttempts.js';
import { isStaying, type BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { isResting } from '../statements/restAllowance.js';
import { canContinue } from '../streamVersions/boundVersion.js';
import { estimateMoveDuration } from './recoveryCosts.js';
import { migrateToServer, resumeElsewhere } from './resumeElsewhere.js';
import type { CacheMove } from './ReclaimState.js';

/** A move fails after this multiple of its estimated duration. */
const MOVE_TIMEOUT_FACTOR = 2;

const MIN_MOVE_TIMEOUT_MILLISECONDS = 250;

export type CacheMovedEvent = Extract<EntryEvent, { type: 'cacheMoved' }>;

function countMove(outcome: CacheMoveOutcome): EntryEffect {
  return { type: 'count', metric: 'cacheMoves', label: outcome };
}

export function startCacheMove(
  state: EntryState,
  requestState: RequestState,
  { attemptId, instance }: AttemptState,
  { now }: Timestamps,
): EntryEffect[] {
  const { requestId } = requestState.request;
  const source = state.backendServers.get(instance);
  const target = chooseServerForAttempt(state, requestState, { spreadEvenly: true });
  if (source === undefined || target === undefined) return [];
  const timeout = Math.max(
    MIN_MOVE_TIMEOUT_MILLISECONDS,
    estimateMoveDuration(requestState) * MOVE_TIMEOUT_FACTOR,
  );
  const to = target.platformInstance.instance;
  const { tokens } = requestState;
  const move: CacheMove = {
    requestId,
    attemptId,
    from: instance,
    to,
    tokens,
    startedAt: now,
    dueAt: now + timeout,
  };
  state.reclaims.moves.set(requestId, move);
  target.attemptIds.add(reservationIdOf(requestId));
  const from = makeAttemptTarget(source, requestState.pool);
  const nextAttemptId = attemptIdOf(requestId, requestState.attemptsStarted + 1);
  const toTarget = makeAttemptTarget(target, requestState.pool);
  return [{ type: 'moveCache', requestId, attemptId, nextAttemptId, from, to: toTarget }];
}

/** Returns the target unless it is unlisted, leaving, down, being probed, resting or of another version. */
function findUsableTarget(
  state: EntryState,
  { to, requestId }: CacheMove,
): BackendServerState | undefined {
  const server = state.backendServers.get(to);
  const { down, unresolvedLosses } = state.quarantine;
  if (server === undefined || !isStaying(server) || isResting(state, server)) return undefined;
  if (down.has(to) || unresolvedLosses.has(to)) return undefined;
  const bound = state.requests.get(requestId)?.boundVersion;
  return bound === undefined || canContinue(state, bound, server) ? server : undefined;
}

/**
 * Ends a move that delivered no cache. The stream is resumed elsewhere if its request may be
 * repeated.
 */
function abandonMove(
  state: EntryState,
  move: CacheMove,
  outcome: CacheMoveOutcome,
  timestamps: Timestamps,
): EntryEffect[] {
  const requestState = state.requests.get(move.requestId);
  removeCacheMove(state, move.requestId);
  if (requestState === undefined) return [];
  // Prefer other servers for the next attempt, since the target may have caused the failure.
  requestState.triedInstances.add(move.to);
  // A call that may not be repeated continues at the source for as long as it can.
  if (!requestState.route.idempotent) return [countMove(outcome)];
  return [countMove(outcome), ...resumeElsewhere(state, requestState, 'reclaimNotice', timestamps)];
}

/**
 * Handles the answer to a move: the stream migrates to the target, or the move is abandoned if it
 * failed. The answer to a move that was abandoned or replaced meanwhile is ignored.
 */
export function finishCacheMove(state: EntryState, event: CacheMovedEvent): EntryEffect[] {
  const move = state.reclaims.moves.get(event.requestId);
  const requestState = state.requests.get(event.requestId);
  if (move === undefined || requestState === undefined) return [];
  if (event.attemptId !== undefined && event.attemptId !== move.attemptId) return [];
  if (!event.moved) return abandonMove(state, move, 'failed', event);
  const target = findUsableTarget(state, move);
  if (target === undefined) return abandonMove(state, move, 'targetLost', event);
  const tokensToRecompute = Math.max(0, requestState.tokens - (event.tokens ?? move.tokens));
  return [
    { type: 'count', metric: 'retries', label: 'reclaimNotice' },
    countMove('moved'),
    ...migrateToServer(state, requestState, target, tokensToRecompute, event.now),
  ];
}

/** Abandons moves that timed out, or whose target is leaving or lost. */
export function advanceCacheMoves(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  return [...state.reclaims.moves.values()].flatMap((move) => {
    if (findUsableTarget(state, move) === undefined) {
      return abandonMove(state, move, 'targetLost', timestamps);
    }
    return move.dueAt > timestamps.now ? [] : abandonMove(state, move, 'failed', timestamps);
  });
}

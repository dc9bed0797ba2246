/**
 * Moves the KV cache of a running stream to another backend server. The stream continues at its
 * source until the cache has arrived, then at the target, which only recomputes the tokens
 * generated after the export. Capacity is reserved at the target when the move starts: otherwise
 * all streams of a reclaim would choose the same least loaded server.
 */
import type { CacheMoveOrderKind, CacheMoveOutcome } from '@hornbeampond/schema';
import { attemptIdOf, type AttemptState } from '../attempts/AttemptState.js';
import { chooseServerForAttempt } from '../attempts/chooseServerForAttempt.js';
import { makeAttemptTarget } from '../backendServers/makeAttemptTarget.js';
import { cancelAttempt, removeCacheMove, reservationIdOf } from '../attempts/releaseAttempts.js';
import { retryRequest } from '../attempts/retryRequest.js';
import { isStaying, type BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { isResting } from '../statements/restAllowance.js';
import { canContinue } from '../streamVersions/boundVersion.js';
import {
  countFailedMoves,
  countMoveRefusal,
  recordFailedMove,
  recordSourceFailure,
} from './moveRests.js';
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
  attempt: AttemptState,
  { now }: Timestamps,
): EntryEffect[] {
  const { attemptId, instance } = attempt;
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
  state.reclaims.movesStarted += 1;
  const moveNumber = state.reclaims.movesStarted;
  const move: CacheMove = {
    number: moveNumber,
    requestId,
    attemptId,
    from: instance,
    to,
    tokens,
    startedAt: now,
    dueAt: now + timeout,
    isOverdue: false,
  };
  state.reclaims.moves.set(requestId, move);
  target.attemptIds.add(reservationIdOf(requestId));
  const from = makeAttemptTarget(source, requestState.pool);
  const nextAttemptId = attemptIdOf(requestId, requestState.attemptsStarted + 1);
  const toTarget = makeAttemptTarget(target, requestState.pool);
  const label: CacheMoveOrderKind = countFailedMoves(attempt) === 0 ? 'first' : 'afterFailure';
  return [
    { type: 'count', metric: 'cacheMoveOrders', label },
    { type: 'moveCache', requestId, attemptId, nextAttemptId, moveNumber, from, to: toTarget },
  ];
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

/** Records that a move brought nothing, so that its run and its source rest before other orders. */
function recordFailure(state: EntryState, move: CacheMove): EntryEffect[] {
  const attempt = state.attempts.get(move.attemptId);
  return [
    ...(attempt === undefined ? [] : recordFailedMove(state, attempt)),
    // An overdue move has been counted then.
    ...(move.isOverdue ? [] : recordSourceFailure(state, move.from)),
  ];
}

/** Ends the attempt of a run that the order has stopped and that has no cache to continue from. */
function loseStoppedRun(
  state: EntryState,
  requestState: RequestState,
  { from }: CacheMove,
  { now }: Timestamps,
): EntryEffect[] {
  const cause = {
    reason: 'reclaimNotice',
    instance: from,
    isServerFailure: false,
    exemptFromBudget: true,
    recompute: 'reclaimResume',
  } as const;
  return [...cancelAttempt(state, requestState), ...retryRequest(state, requestState, cause, now)];
}

/**
 * Ends a move whose order has been answered without a cache to continue from. The stream is resumed
 * elsewhere if its request may be repeated.
 */
function failMove(
  state: EntryState,
  requestState: RequestState,
  move: CacheMove,
  event: CacheMovedEvent,
): EntryEffect[] {
  removeCacheMove(state, move.requestId);
  // Prefer other servers for the next attempt, since the target may have caused the failure.
  requestState.triedInstances.add(move.to);
  const effects = [countMove(event.moved ? 'targetLost' : 'failed'), ...recordFailure(state, move)];
  const resumed = requestState.route.idempotent
    ? resumeElsewhere(state, requestState, 'reclaimNotice', event)
    : [];
  if (resumed.length > 0 || event.runStopped !== true) return [...effects, ...resumed];
  return [...effects, ...loseStoppedRun(state, requestState, move, event)];
}

/** True if the event is the answer to the order of this move, and not of an earlier one. */
function isAnswerTo(move: CacheMove, { attemptId, moveNumber }: CacheMovedEvent): boolean {
  if (attemptId !== undefined && attemptId !== move.attemptId) return false;
  return moveNumber === undefined || moveNumber === move.number;
}

/**
 * Handles the answer to a move, also to one that is overdue: the stream migrates to the target, or the
 * move has failed. The answer to a move that was abandoned or replaced meanwhile is ignored.
 */
export function finishCacheMove(state: EntryState, event: CacheMovedEvent): EntryEffect[] {
  const move = state.reclaims.moves.get(event.requestId);
  const requestState = state.requests.get(event.requestId);
  if (move === undefined || requestState === undefined) return [];
  if (!isAnswerTo(move, event)) return [];
  const target = findUsableTarget(state, move);
  if (!event.moved || target === undefined) return failMove(state, requestState, move, event);
  state.reclaims.failuresBySource.delete(move.from);
  const tokensToRecompute = Math.max(0, requestState.tokens - (event.tokens ?? move.tokens));
  return [
    { type: 'count', metric: 'retries', label: 'reclaimNotice' },
    countMove('moved'),
    ...migrateToServer(state, requestState, target, tokensToRecompute, event.now),
  ];
}

/** Resumes a stream elsewhere without its cache; returns nothing if no server can continue it. */
function abandonMove(
  state: EntryState,
  requestState: RequestState,
  { to }: CacheMove,
  outcome: CacheMoveOutcome,
  timestamps: Timestamps,
): EntryEffect[] {
  // Prefer other servers, since the target may have caused the delay.
  requestState.triedInstances.add(to);
  const resumed = resumeElsewhere(state, requestState, 'reclaimNotice', timestamps);
  return resumed.length === 0 ? [] : [countMove(outcome), ...resumed];
}

/** Lets other streams of the source have their turn, although the order is still out. */
function markOverdue(state: EntryState, move: CacheMove, isTargetLost: boolean): EntryEffect[] {
  if (move.isOverdue) return [];
  move.isOverdue = true;
  return [
    countMoveRefusal('orderUnanswered'),
    ...(isTargetLost ? [] : recordSourceFailure(state, move.from)),
  ];
}

/**
 * Gives way to other streams where a move is due, or its target is leaving or lost. A stream that may be
 * repeated is resumed elsewhere. Any other waits for the answer: the order may have stopped its run,
 * which then continues from the moved cache only, and a second order would find no run.
 */
export function advanceCacheMoves(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  return [...state.reclaims.moves.values()].flatMap((move) => {
    const isTargetLost = findUsableTarget(state, move) === undefined;
    if (!isTargetLost && move.dueAt > timestamps.now) return [];
    const overdue = markOverdue(state, move, isTargetLost);
    const requestState = state.requests.get(move.requestId);
    if (requestState?.route.idempotent !== true) return overdue;
    const outcome = isTargetLost ? 'targetLost' : 'failed';
    return [...overdue, ...abandonMove(state, requestState, move, outcome, timestamps)];
  });
}

/**
 * Migrates the streams of a backend server that is being reclaimed, until its notice period ends.
 * Streams that finish in time stay, and those without a first token restart elsewhere immediately.
 * The others are moved with their KV cache one at a time, most expensive to recompute first; those
 * that do not fit the remaining time run on as long as possible and are then resumed elsewhere.
 * Every call plans from the current state.
 */
import { requiresClaim, type Milliseconds } from '@hornbeampond/schema';
import { acceptsNewWork } from '../backendServers/BackendServerState.js';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import {
  canMoveCache,
  canFinishWithinNotice,
  estimateMoveDuration,
  NOTICE_MARGIN_MILLISECONDS,
  estimatePrefillDuration,
  countTokensToRecompute,
} from './recoveryCosts.js';
import { startCacheMove } from './moveCache.js';
import { countFailedMoves, isRestingFromMoves, isSourceResting } from './moveRests.js';
import { resumeElsewhere } from './resumeElsewhere.js';

interface Stream {
  readonly requestState: RequestState;
  readonly attempt: AttemptState;
}

/** Returns the streams of this entry on the instance that can still be migrated. */
function listMigratableStreams(state: EntryState, instance: string): Stream[] {
  const attemptIds = state.backendServers.get(instance)?.attemptIds ?? [];
  return [...attemptIds].flatMap((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    const requestState = attempt && state.requests.get(attempt.requestId);
    if (attempt === undefined || requestState === undefined) return [];
    return canMigrate(requestState, attempt) ? [{ requestState, attempt }] : [];
  });
}

/**
 * True if the stream can continue elsewhere. A call that may not be repeated can only move with
 * its KV cache, which continues the same run. The answer of a plain service cannot move once it
 * has started.
 */
function canMigrate(requestState: RequestState, attempt: AttemptState): boolean {
  if (requestState.attemptId !== attempt.attemptId) return false;
  // The hedge already runs elsewhere.
  if (requestState.hedge?.isRunning === true) return false;
  if (!requestState.route.idempotent) {
    return (
      !requiresClaim(requestState.route) &&
      canMoveCache(requestState) &&
      attempt.firstTokenAt !== undefined
    );
  }
  return requestState.pool.kind === 'modelEngine' || attempt.firstTokenAt === undefined;
}

/** Resumes are spread over this fraction of their total prefill time per target. */
const RESUME_SPREAD_FRACTION_OF_PREFILL = 0.25;

/**
 * Returns how long before the end of the notice the first of these streams is to be resumed. The
 * time is kept short, since a stream may still finish; spreading the resumes limits how many
 * prefills reach the targets at the same time.
 */
function estimateResumeLeadTime(streams: readonly Stream[], targets: number): Milliseconds {
  const prefill = streams.reduce(
    (sum, { requestState }) => sum + estimatePrefillDuration(requestState),
    0,
  );
  return (
    NOTICE_MARGIN_MILLISECONDS +
    (prefill * RESUME_SPREAD_FRACTION_OF_PREFILL) / Math.max(1, targets)
  );
}

function countTargets(state: EntryState, { requestState }: Stream): number {
  return [...state.backendServers.values()].filter(
    (server) => server.platformInstance.pool === requestState.pool.name && acceptsNewWork(server),
  ).length;
}

/**
 * Selects the streams that can be moved one after the other within `timeLeft`, most expensive to
 * recompute first; the rest must be resumed.
 */
function planCacheMoves(streams: readonly Stream[], timeLeft: Milliseconds) {
  const byCost = [...streams].sort(
    (a, b) => countTokensToRecompute(b.requestState) - countTokensToRecompute(a.requestState),
  );
  let timeForMoves = timeLeft - NOTICE_MARGIN_MILLISECONDS;
  const moved: Stream[] = [];
  const resumed: Stream[] = [];
  byCost.forEach((stream) => {
    const duration = estimateMoveDuration(stream.requestState);
    if (duration > timeForMoves) {
      resumed.push(stream);
      return;
    }
    timeForMoves -= duration;
    moved.push(stream);
  });
  return { moved, resumed };
}

/** True if the next cache move from this backend server has to wait. */
function mustDelayMove(state: EntryState, instance: string): boolean {
  if (isSourceResting(state, instance)) return true;
  return [...state.reclaims.moves.values()].some(
    ({ from, isOverdue }) => from === instance && !isOverdue,
  );
}

/** Separates the streams whose caches may be moved now from those whose last moves have failed. */
function groupByRest(state: EntryState, streams: readonly Stream[]) {
  return {
    ready: streams.filter(({ attempt }) => !isRestingFromMoves(state, attempt)),
    resting: streams.filter(({ attempt }) => isRestingFromMoves(state, attempt)),
  };
}

/** Each stream has its turn before one whose moves have failed is ordered again. */
function chooseNextMove(moved: readonly Stream[]): Stream | undefined {
  const leastFailures = Math.min(...moved.map(({ attempt }) => countFailedMoves(attempt)));
  return moved.find(({ attempt }) => countFailedMoves(attempt) === leastFailures);
}

/** Resumes streams whose lead time has come, the one with most tokens left first. */
function resumeDueStreams(
  state: EntryState,
  streams: Stream[],
  timeLeft: Milliseconds,
  timestamps: Timestamps,
) {
  const first = streams[0];
  if (first === undefined) return [];
  const targets = countTargets(state, first);
  const countRemainingTokens = ({ requestState }: Stream) =>
    requestState.request.maxTokens - requestState.tokens;
  const ordered = streams.sort((a, b) => countRemainingTokens(b) - countRemainingTokens(a));
  return ordered.flatMap(({ requestState }, position) => {
    if (timeLeft > estimateResumeLeadTime(ordered.slice(position), targets)) return [];
    return resumeElsewhere(state, requestState, 'reclaimNotice', timestamps);
  });
}

/**
 * Separates streams that have a KV cache to move from those without a first token, which restart
 * elsewhere, and from requests to plain services.
 */
function groupByProgress(streams: readonly Stream[]) {
  const engine = streams.filter(({ requestState }) => requestState.pool.kind === 'modelEngine');
  return {
    withoutFirstToken: engine.filter(({ attempt }) => attempt.firstTokenAt === undefined),
    withFirstToken: engine.filter(({ attempt }) => attempt.firstTokenAt !== undefined),
    plainService: streams.filter(({ requestState }) => requestState.pool.kind !== 'modelEngine'),
  };
}

/** False if the stream must stay where it is unless its KV cache can be moved. */
function isRepeatable({ requestState }: Stream): boolean {
  return requestState.route.idempotent;
}

export function migrateStreams(
  state: EntryState,
  instance: string,
  timestamps: Timestamps,
): EntryEffect[] {
  if (!state.retries.policy.migrateOnNotice) return [];
  const timeLeft = (state.reclaims.leaving.get(instance) ?? Infinity) - timestamps.wallNow;
  const streams = listMigratableStreams(state, instance).filter(
    ({ requestState, attempt }) =>
      !canFinishWithinNotice(requestState, attempt, timeLeft) &&
      !state.reclaims.moves.has(requestState.request.requestId),
  );
  if (streams.length === 0) return [];
  const { withoutFirstToken, withFirstToken, plainService } = groupByProgress(streams);
  const { ready, resting } = groupByRest(state, withFirstToken);
  const { moved, resumed } = state.retries.policy.moveCaches
    ? planCacheMoves(ready, timeLeft)
    : { moved: [], resumed: ready };
  const next = mustDelayMove(state, instance) ? undefined : chooseNextMove(moved);
  return [
    ...withoutFirstToken.flatMap(({ requestState }) =>
      resumeElsewhere(state, requestState, 'reclaimNotice', timestamps),
    ),
    ...(next === undefined
      ? []
      : startCacheMove(state, next.requestState, next.attempt, timestamps)),
    ...resumeDueStreams(
      state,
      [...resumed, ...resting, ...plainService].filter(isRepeatable),
      timeLeft,
      timestamps,
    ),
  ];
}

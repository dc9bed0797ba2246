/**
 * Decides, again and again until the end of a notice, what becomes of each stream on a backend
 * server that is leaving:
 *
 * - one that provably ends within the notice at its measured rate is let finish;
 * - of the others, those whose redo would cost most are moved with their KV cache, one after the
 *   other over the server's link, as long as the notice has room;
 * - those for which it has none run on for as long as they can be resumed in time (they may end by
 *   themselves), and are then resumed elsewhere from their offset.
 *
 * Nothing is planned ahead: each look starts from what runs now. A move that failed, a target that
 * was lost, or a notice that became shorter is then not a special case.
 */
import { isClaimed, type Milliseconds } from '@hornbeampond/schema';
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
import { resumeElsewhere } from './resumeElsewhere.js';

interface Stream {
  readonly accepted: RequestState;
  readonly attempt: AttemptState;
}

/** Streams of this entry that run there and can still be handed on. */
function listMigratableStreams(state: EntryState, instance: string): Stream[] {
  const attemptIds = state.backendServers.get(instance)?.attemptIds ?? [];
  return [...attemptIds].flatMap((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    const accepted = attempt && state.requests.get(attempt.requestId);
    if (attempt === undefined || accepted === undefined) return [];
    return canMigrate(accepted, attempt) ? [{ accepted, attempt }] : [];
  });
}

/**
 * A call that may not be repeated stays where it is, unless its cache can be moved: it then goes on
 * as the same run. A plain service's answer stays as well once it has begun.
 */
function canMigrate(accepted: RequestState, attempt: AttemptState): boolean {
  if (accepted.attemptId !== attempt.attemptId) return false;
  if (!accepted.route.idempotent) {
    return (
      !isClaimed(accepted.route) && canMoveCache(accepted) && attempt.firstTokenAt !== undefined
    );
  }
  return accepted.pool.kind === 'modelEngine' || attempt.firstTokenAt === undefined;
}

/** Share of their prefills by which resumes at the end of a notice are spread. */
const RESUME_SPREAD_FRACTION_OF_PREFILL = 0.25;

/**
 * How long before the end streams that run on have to be resumed. It is short, for what runs on may
 * end by itself; the spread keeps a wave's prefills from reaching the targets all at once.
 */
function estimateResumeLeadTime(streams: readonly Stream[], targets: number): Milliseconds {
  const prefill = streams.reduce((sum, { accepted }) => sum + estimatePrefillDuration(accepted), 0);
  return (
    NOTICE_MARGIN_MILLISECONDS +
    (prefill * RESUME_SPREAD_FRACTION_OF_PREFILL) / Math.max(1, targets)
  );
}

function countTargets(state: EntryState, { accepted }: Stream): number {
  return [...state.backendServers.values()].filter(
    ({ platformInstance, goneAt }) =>
      platformInstance.pool === accepted.pool.name &&
      platformInstance.state === 'live' &&
      goneAt === undefined,
  ).length;
}

/** Parts the streams into those that the link can move within `left`, dearest redo first. */
function planCacheMoves(streams: readonly Stream[], timeLeft: Milliseconds) {
  const byCost = [...streams].sort(
    (a, b) => countTokensToRecompute(b.accepted) - countTokensToRecompute(a.accepted),
  );
  let timeForMoves = timeLeft - NOTICE_MARGIN_MILLISECONDS;
  const moved: Stream[] = [];
  const resumed: Stream[] = [];
  byCost.forEach((stream) => {
    const duration = estimateMoveDuration(stream.accepted);
    if (duration > timeForMoves) {
      resumed.push(stream);
      return;
    }
    timeForMoves -= duration;
    moved.push(stream);
  });
  return { moved, resumed };
}

function hasMoveFrom(state: EntryState, instance: string): boolean {
  return [...state.reclaims.moves.values()].some(({ from }) => from === instance);
}

/** Resumes streams that run on until their turn: the one with most left to do goes first. */
function resumeDueStreams(
  state: EntryState,
  streams: Stream[],
  timeLeft: Milliseconds,
  timestamps: Timestamps,
) {
  const first = streams[0];
  if (first === undefined) return [];
  const targets = countTargets(state, first);
  const countRemainingTokens = ({ accepted }: Stream) =>
    accepted.request.maxTokens - accepted.tokens;
  const ordered = streams.sort((a, b) => countRemainingTokens(b) - countRemainingTokens(a));
  return ordered.flatMap(({ accepted }, position) => {
    if (timeLeft > estimateResumeLeadTime(ordered.slice(position), targets)) return [];
    return resumeElsewhere(state, accepted, 'reclaimNotice', timestamps);
  });
}

/** A stream without a first token has nothing to move yet and restarts at once elsewhere. */
function groupByProgress(streams: readonly Stream[]) {
  const engine = streams.filter(({ accepted }) => accepted.pool.kind === 'modelEngine');
  return {
    withoutFirstToken: engine.filter(({ attempt }) => attempt.firstTokenAt === undefined),
    withFirstToken: engine.filter(({ attempt }) => attempt.firstTokenAt !== undefined),
    plainService: streams.filter(({ accepted }) => accepted.pool.kind !== 'modelEngine'),
  };
}

/** One that goes on only with its cache runs on where it is if that cannot be moved. */
function isRepeatable({ accepted }: Stream): boolean {
  return accepted.route.idempotent;
}

export function migrateStreams(
  state: EntryState,
  instance: string,
  timestamps: Timestamps,
): EntryEffect[] {
  if (!state.retries.policy.migrateOnNotice) return [];
  const timeLeft = (state.reclaims.leaving.get(instance) ?? Infinity) - timestamps.wallNow;
  const streams = listMigratableStreams(state, instance).filter(
    ({ accepted, attempt }) =>
      !canFinishWithinNotice(accepted, attempt, timeLeft) &&
      !state.reclaims.moves.has(accepted.request.requestId),
  );
  if (streams.length === 0) return [];
  const { withoutFirstToken, withFirstToken, plainService } = groupByProgress(streams);
  const { moved, resumed } = state.retries.policy.moveCaches
    ? planCacheMoves(withFirstToken, timeLeft)
    : { moved: [], resumed: withFirstToken };
  const next = hasMoveFrom(state, instance) ? undefined : moved[0];
  return [
    ...withoutFirstToken.flatMap(({ accepted }) =>
      resumeElsewhere(state, accepted, 'reclaimNotice', timestamps),
    ),
    ...(next === undefined ? [] : startCacheMove(state, next.accepted, next.attempt, timestamps)),
    ...resumeDueStreams(
      state,
      [...resumed, ...plainService].filter(isRepeatable),
      timeLeft,
      timestamps,
    ),
  ];
}

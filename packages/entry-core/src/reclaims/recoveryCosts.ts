/**
 * Stated rates from which moves and resumes are costed. They are deliberately low: a move that is
 * wrongly believed to fit costs its stream the rest of the notice.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { RequestState } from '../requests/RequestState.js';

/**
 * Tokens of KV cache that an engine exports over its link in a millisecond: about 128 KiB a token
 * over 10 Gbit/s.
 */
export const DEFAULT_MOVED_TOKENS_PER_MILLISECOND = 8;

/** What a move takes besides its bytes. */
const MOVE_OVERHEAD_MILLISECONDS: Milliseconds = 50;

/** Prompt tokens that an engine computes in a millisecond. */
export const PREFILL_TOKENS_PER_MILLISECOND = 4;

/** A stream is let finish only if it would do so this many times over. */
const FINISH_SAFETY_FACTOR = 1.25;

/** Kept free at the end of a notice: the platform's clock and the wires are not exact. */
export const NOTICE_MARGIN_MILLISECONDS: Milliseconds = 500;

/** Least span over which a stream's rate is believed. */
const MIN_RATE_SAMPLE_MILLISECONDS: Milliseconds = 200;

/** Tokens that an engine would have to compute again if the stream were redone elsewhere. */
export function countTokensToRecompute(accepted: RequestState): number {
  return accepted.request.promptTokens + accepted.tokens;
}

export function estimateMoveDuration(accepted: RequestState): Milliseconds {
  const rate =
    accepted.pool.streams?.movedTokensPerMillisecond ?? DEFAULT_MOVED_TOKENS_PER_MILLISECOND;
  return rate > 0 ? MOVE_OVERHEAD_MILLISECONDS + countTokensToRecompute(accepted) / rate : Infinity;
}

/** True if the engines of its pool can hand the request's KV cache to each other. */
export function canMoveCache({ pool }: RequestState): boolean {
  return pool.kind === 'modelEngine' && pool.streams?.movedTokensPerMillisecond !== 0;
}

export function estimatePrefillDuration(accepted: RequestState): Milliseconds {
  return countTokensToRecompute(accepted) / PREFILL_TOKENS_PER_MILLISECOND;
}

/** Tokens a millisecond that this attempt has given so far; undefined while not measured. */
function measureTokenRate({
  firstTokenAt,
  tokens,
  tokensUpdatedAt,
  resumedFromTokens,
}: AttemptState) {
  if (firstTokenAt === undefined || tokensUpdatedAt === undefined) return undefined;
  const sampleDuration = tokensUpdatedAt - firstTokenAt;
  if (sampleDuration < MIN_RATE_SAMPLE_MILLISECONDS) return undefined;
  return (tokens - resumedFromTokens) / sampleDuration;
}

/** With so much notice left, a stream that has just begun is first measured. */
const MIN_NOTICE_TO_MEASURE_MILLISECONDS: Milliseconds = 5000;

/**
 * True if even the longest answer that the caller allows ends within `left`, or if there is time to
 * find out: to restart a prompt elsewhere at the start of a long notice would compute it twice.
 */
export function canFinishWithinNotice(
  accepted: RequestState,
  attempt: AttemptState,
  timeLeft: Milliseconds,
): boolean {
  const rate = measureTokenRate(attempt);
  if (rate === undefined) return timeLeft > MIN_NOTICE_TO_MEASURE_MILLISECONDS;
  if (rate <= 0 || accepted.request.maxTokens <= 0) return false;
  const remaining = Math.max(0, accepted.request.maxTokens - accepted.tokens);
  return (remaining / rate) * FINISH_SAFETY_FACTOR + NOTICE_MARGIN_MILLISECONDS <= timeLeft;
}

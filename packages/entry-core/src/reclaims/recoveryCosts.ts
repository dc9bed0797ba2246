/**
 * Estimates how long it takes to move, resume or finish a stream. The rates are deliberately low:
 * a move that wrongly appears to fit into the notice wastes the rest of it.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { RequestState } from '../requests/RequestState.js';

/** Tokens of KV cache exported per millisecond: about 128 KiB per token over 10 Gbit/s. */
export const DEFAULT_MOVED_TOKENS_PER_MILLISECOND = 8;

/** Fixed part of the duration of a move. */
const MOVE_OVERHEAD_MILLISECONDS: Milliseconds = 50;

/** Prompt tokens that an engine prefills per millisecond. */
export const PREFILL_TOKENS_PER_MILLISECOND = 4;

/**
 * A stream may finish in place only if the notice is at least this multiple of the estimated
 * remaining time of the stream.
 */
const FINISH_SAFETY_FACTOR = 1.25;

/** Reserved at the end of a notice for clock differences and network latency. */
export const NOTICE_MARGIN_MILLISECONDS: Milliseconds = 500;

/** Shortest time over which the token rate of a stream is measured. */
const MIN_RATE_SAMPLE_MILLISECONDS: Milliseconds = 200;

/** Returns how many tokens another engine has to recompute to resume the stream. */
export function countTokensToRecompute(requestState: RequestState): number {
  return requestState.request.promptTokens + requestState.tokens;
}

export function estimateMoveDuration(requestState: RequestState): Milliseconds {
  const rate =
    requestState.pool.streams?.movedTokensPerMillisecond ?? DEFAULT_MOVED_TOKENS_PER_MILLISECOND;
  return rate > 0
    ? MOVE_OVERHEAD_MILLISECONDS + countTokensToRecompute(requestState) / rate
    : Infinity;
}

/** True if the engines of the pool can exchange KV caches. */
export function canMoveCache({ pool }: RequestState): boolean {
  return pool.kind === 'modelEngine' && pool.streams?.movedTokensPerMillisecond !== 0;
}

export function estimatePrefillDuration(requestState: RequestState): Milliseconds {
  return countTokensToRecompute(requestState) / PREFILL_TOKENS_PER_MILLISECOND;
}

/**
 * Returns the tokens per millisecond of this attempt, or undefined if it is too early to measure.
 */
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

/** With more notice left than this, a stream that has just started is measured first. */
const MIN_NOTICE_TO_MEASURE_MILLISECONDS: Milliseconds = 5000;

/**
 * True if the longest answer that the caller allows finishes within `timeLeft`, or if there is
 * time to measure the rate first: migrating a stream that would have finished recomputes its
 * prompt for nothing.
 */
export function canFinishWithinNotice(
  requestState: RequestState,
  attempt: AttemptState,
  timeLeft: Milliseconds,
): boolean {
  const rate = measureTokenRate(attempt);
  if (rate === undefined) return timeLeft > MIN_NOTICE_TO_MEASURE_MILLISECONDS;
  if (rate <= 0 || requestState.request.maxTokens <= 0) return false;
  const remaining = Math.max(0, requestState.request.maxTokens - requestState.tokens);
  return (remaining / rate) * FINISH_SAFETY_FACTOR + NOTICE_MARGIN_MILLISECONDS <= timeLeft;
}

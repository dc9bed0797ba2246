/** When a request needs its next token. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { RequestState } from '../requests/RequestState.js';

/** When the next token of the request is due. */
export function nextTokenDueAt(accepted: RequestState): MonotonicMilliseconds {
  const { firstTokenAt, interruptedAt, maxPause } = accepted;
  // Its caller has received the beginning and waits since the connection broke.
  if (firstTokenAt === undefined && accepted.isTakenUp === true) return accepted.arrivedAt;
  if (firstTokenAt === undefined) {
    return accepted.isLate === true ? accepted.lateFirstTokenDueAt : accepted.firstTokenDueAt;
  }
  const pauseEndsAt = (interruptedAt ?? firstTokenAt) + maxPause;
  return Math.min(accepted.wholeAnswerDueAt, pauseEndsAt);
}

/** Until when the request is served, if need be late. */
export function lastServedAt(accepted: RequestState): MonotonicMilliseconds {
  const { firstTokenAt, lateFirstTokenDueAt } = accepted;
  const dueAt = nextTokenDueAt(accepted);
  return firstTokenAt === undefined ? Math.max(dueAt, lateFirstTokenDueAt) : dueAt;
}

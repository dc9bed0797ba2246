/** Learns how long the calls of a route take. Nothing is learnt while this process itself is slow. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { attemptIdOf, type AttemptState } from '../attempts/AttemptState.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { canBeHedged } from './canBeHedged.js';
import { getRouteDurations, getTokenDurations } from './HedgingState.js';

/**
 * Records an attempt that has finished, timed out or lost against a hedge. Only first attempts count:
 * a hedge runs on the server that is least loaded at that moment, and its loser is cancelled early. The
 * rest of a stream says nothing about whole answers.
 */
export function recordDuration(
  state: EntryState,
  requestState: RequestState,
  { attemptId, startedAt, firstTokenAt }: AttemptState,
  now: MonotonicMilliseconds,
): void {
  const { request, route } = requestState;
  if (state.slowness.detector.isSlow || request.resumption !== undefined) return;
  if (attemptId !== attemptIdOf(request.requestId, 1)) return;
  getRouteDurations(state.hedging, route.name).addSample(now - startedAt);
  if (request.maxTokens <= 0 || firstTokenAt === undefined) return;
  const timePerToken = (now - firstTokenAt) / request.maxTokens;
  getTokenDurations(state.hedging, route.name).addSample(timePerToken);
}

/** Records whether a request that has ended has missed its target. */
export function recordOutcome(state: EntryState, requestState: RequestState): void {
  if (state.slowness.detector.isSlow || !canBeHedged(requestState)) return;
  const isLate = state.clocks.now > requestState.firstTokenDueAt;
  getRouteDurations(state.hedging, requestState.route.name).recordOutcome(isLate);
}

/**
 * Releases the concurrency slots of requests that have ended. Requests end in many parts of the
 * reducer, so this happens in one place: for the request concerned by an event after that event,
 * and for all requests once a second. The same sweep removes expired peers and ended attempts. A
 * slot that is not released would stay in use until the process restarts.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import { pruneEndedAttempts } from '../backendServers/observeAttempt.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { limitKey } from './limitOf.js';

const SWEEP_INTERVAL_MILLISECONDS: Milliseconds = 1000;

/**
 * Finds the request that an event concerns. Call it before the event is handled, which may remove
 * the attempt.
 */
export function requestIdOf(state: EntryState, event: EntryEvent): string | undefined {
  if ('requestId' in event) return event.requestId;
  if ('attemptId' in event) return state.attempts.get(event.attemptId)?.requestId;
  return undefined;
}

function releaseIfEnded(state: EntryState, requestId: string): void {
  const key = state.limits.keysByRequestId.get(requestId);
  if (key === undefined || state.requests.has(requestId)) return;
  state.limits.keysByRequestId.delete(requestId);
  state.limits.concurrencyLimiter.release(key, requestId);
}

export function acquireConcurrencySlot(
  state: EntryState,
  requestId: string,
  route: string,
  workspace: string,
) {
  const key = limitKey(route, workspace);
  state.limits.keysByRequestId.set(requestId, key);
  state.limits.concurrencyLimiter.acquire(key, requestId);
}

export function releaseEndedRequests(
  state: EntryState,
  event: EntryEvent,
  requestId: string | undefined,
): void {
  if (requestId !== undefined) releaseIfEnded(state, requestId);
  if (event.type !== 'tick' || event.now - state.limits.sweptAt < SWEEP_INTERVAL_MILLISECONDS)
    return;
  state.limits.sweptAt = event.now;
  for (const heldId of [...state.limits.keysByRequestId.keys()]) releaseIfEnded(state, heldId);
  pruneEndedAttempts(state);
  state.limits.concurrencyLimiter.removeExpiredPeers(event.now);
}

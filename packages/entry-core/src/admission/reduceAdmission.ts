/**
 * Updates admission after each event: frees the concurrency limits held by ended requests, ends
 * queued requests that can no longer meet their deadline, and starts those that backend servers
 * have capacity for.
 */
import { endExpiredEjections } from '../backendServers/ejectOutliers.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { releaseEndedRequests, requestIdOf } from '../limits/releaseEndedRequests.js';
import { startQueuedRequests } from './startQueuedRequests.js';
import { failUnreachableDeadlines } from './failUnreachableDeadlines.js';
import { removeEndedFromQueue } from './removeEndedFromQueue.js';
import { expireRetryTimes } from './assignRetryAfter.js';

/**
 * The request and the backend server of an event, determined before the event changes the state.
 */
export interface AffectedIds {
  readonly requestId: string | undefined;
  readonly instance: string | undefined;
}

export function findAffectedIds(state: EntryState, event: EntryEvent): AffectedIds {
  const requestId = requestIdOf(state, event);
  const attemptId =
    'attemptId' in event ? event.attemptId : state.requests.get(requestId ?? '')?.attemptId;
  return { requestId, instance: state.attempts.get(attemptId ?? '')?.instance };
}

function handleTick(state: EntryState, now: number): EntryEffect[] {
  for (const pool of state.poolStates.values()) endExpiredEjections(pool, now);
  expireRetryTimes(state, now);
  return failUnreachableDeadlines(state, now);
}

export function reduceAdmission(
  state: EntryState,
  event: EntryEvent,
  { requestId, instance }: AffectedIds,
): EntryEffect[] {
  releaseEndedRequests(state, event, requestId);
  removeEndedFromQueue(state, requestId);
  const tickEffects = event.type === 'tick' ? handleTick(state, event.now) : [];
  return [...tickEffects, ...startQueuedRequests(state, event, instance)];
}

/** Removes requests from the queues that have ended while queued. */
import type { EntryState } from '../EntryState.js';
import type { QueuedRequest } from './FairQueue.js';
import type { PoolQueue } from './PoolQueue.js';

/** True if the request has its final answer. A newer request may have the same id. */
export function hasEnded(state: EntryState, { requestState }: QueuedRequest): boolean {
  return state.requests.get(requestState.request.requestId) !== requestState;
}

/** Removes all requests from a queue that have ended. */
export function removeAllEnded(state: EntryState, queue: PoolQueue): void {
  for (const queued of queue.waiting.values()) {
    if (hasEnded(state, queued)) queue.remove(queued);
  }
}

/** Removes the request with this id from the queues if it has ended. */
export function removeEndedFromQueue(state: EntryState, requestId: string | undefined): void {
  if (requestId === undefined || state.requests.has(requestId)) return;
  for (const queue of state.admission.queues.values()) {
    const queued = queue.waiting.get(requestId);
    if (queued !== undefined) queue.remove(queued);
  }
}

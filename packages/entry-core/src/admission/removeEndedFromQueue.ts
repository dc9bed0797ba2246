/** Removes a request from the queue if it has ended while queued. */
import type { EntryState } from '../EntryState.js';

export function removeEndedFromQueue(state: EntryState, requestId: string | undefined): void {
  if (requestId === undefined || state.requests.has(requestId)) return;
  for (const queue of state.admission.queues.values()) {
    const queued = queue.waiting.get(requestId);
    if (queued !== undefined) queue.remove(queued);
  }
}

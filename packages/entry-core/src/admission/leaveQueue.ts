/** Takes a request out of the queue that has ended while it waited. */
import type { EntryState } from '../EntryState.js';

export function leaveQueue(state: EntryState, requestId: string | undefined): void {
  if (requestId === undefined || state.requests.has(requestId)) return;
  for (const queue of state.admission.queues.values()) {
    const queued = queue.waiting.get(requestId);
    if (queued !== undefined) queue.remove(queued);
  }
}

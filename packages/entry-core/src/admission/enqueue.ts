/** Queues an accepted request until a backend server has capacity for it. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { countQueuedRequests, getPoolQueue } from './AdmissionState.js';
import { makeQueuedRequest } from './predictWait.js';

export function enqueue(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const queue = getPoolQueue(state, accepted.pool.name);
  const { requestId } = accepted.request;
  const queued = makeQueuedRequest(state, accepted);
  if (!queue.waiting.has(requestId)) queue.add(queued);
  const dueInMilliseconds = Math.round(queued.dueAt - now);
  return [
    { type: 'setGauge', metric: 'queuedRequests', value: countQueuedRequests(state) },
    {
      type: 'log',
      event: 'requestQueued',
      fields: { requestId, pool: accepted.pool.name, dueInMilliseconds },
    },
  ];
}

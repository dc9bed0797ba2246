/** What waits, and what refused callers were told. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { PoolQueue } from './PoolQueue.js';

export interface AdmissionState {
  /** By pool. */
  readonly queues: Map<string, PoolQueue>;
  /** The latest time that refused callers were asked to come back at, by what refused them. */
  readonly retryTimes: Map<string, MonotonicMilliseconds>;
}

export function makeAdmissionState(): AdmissionState {
  return { queues: new Map(), retryTimes: new Map() };
}

export function poolQueueOf(state: EntryState, pool: string): PoolQueue {
  const existing = state.admission.queues.get(pool);
  if (existing !== undefined) return existing;
  const created = new PoolQueue();
  state.admission.queues.set(pool, created);
  return created;
}

/** Requests that wait at this entry, over all pools. */
export function countQueuedRequests(state: EntryState): number {
  let count = 0;
  for (const queue of state.admission.queues.values()) count += queue.size;
  return count;
}

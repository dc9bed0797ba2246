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
  const known = state.admission.queues.get(pool);
  if (known !== undefined) return known;
  const made = new PoolQueue();
  state.admission.queues.set(pool, made);
  return made;
}

/** Requests that wait at this entry, over all pools. */
export function countQueuedRequests(state: EntryState): number {
  let waiting = 0;
  for (const queue of state.admission.queues.values()) waiting += queue.size;
  return waiting;
}

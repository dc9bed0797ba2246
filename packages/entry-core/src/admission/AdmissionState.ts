/** The queues of an entry by pool, and the retry times it has assigned to refused callers. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { PoolQueue } from './PoolQueue.js';

export interface AdmissionState {
  /** By pool. */
  readonly queues: Map<string, PoolQueue>;
  /** The latest retry time assigned to a refused caller, by reason and workspace. */
  readonly retryTimes: Map<string, MonotonicMilliseconds>;
}

export function makeAdmissionState(): AdmissionState {
  return { queues: new Map(), retryTimes: new Map() };
}

export function getPoolQueue(state: EntryState, pool: string): PoolQueue {
  const existing = state.admission.queues.get(pool);
  if (existing !== undefined) return existing;
  const created = new PoolQueue();
  state.admission.queues.set(pool, created);
  return created;
}

/** Number of requests queued at this entry, over all pools. */
export function countQueuedRequests(state: EntryState): number {
  let count = 0;
  for (const queue of state.admission.queues.values()) count += queue.size;
  return count;
}

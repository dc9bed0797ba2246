/** Refuses requests that would wait too long in the queue, or that the queue has no room for. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { countQueuedRequests, getPoolQueue } from './AdmissionState.js';
import { assignRetryAfter } from './assignRetryAfter.js';
import type { EarlyRefusal } from './EarlyRefusal.js';
import {
  estimateSlots,
  expectedFirstTokenDelay,
  makeQueuedRequest,
  predictWait,
} from './predictWait.js';

const MAX_QUEUED_PER_FREE_POSITION = 2;

/**
 * Refuses a workspace that has more requests queued than twice the free positions of the queue.
 * With a fixed maximum alone, one workspace could fill the queue, and all other callers would be
 * refused.
 */
export function refuseOverQueue(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const { workspace } = accepted.request;
  const queue = getPoolQueue(state, accepted.pool.name);
  const free = state.identity.maxQueuedRequests - countQueuedRequests(state);
  const ownQueued = queue.countForWorkspace(workspace);
  const excess = ownQueued + 1 - Math.min(ownQueued + free, MAX_QUEUED_PER_FREE_POSITION * free);
  if (excess <= 0) return undefined;
  const { cost } = makeQueuedRequest(state, accepted);
  const workspaces = Math.max(1, queue.countWorkspaces());
  const interval = (cost * workspaces) / estimateSlots(state, accepted.pool.name);
  const key = `queue/${accepted.pool.name}/${workspace}`;
  const retryAfterMilliseconds = assignRetryAfter(state, key, interval * excess, interval, now);
  const facts = { waiting: ownQueued, free, workspaces };
  return {
    kind: 'overloaded',
    detail: 'Too many requests are queued',
    retryAfterMilliseconds,
    facts,
  };
}

export function refuseLateInQueue(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const queued = makeQueuedRequest(state, accepted);
  const wait = predictWait(state, queued);
  const firstTokenDelay = expectedFirstTokenDelay(state, accepted);
  const predicted = wait + firstTokenDelay;
  const lateBy = predicted - (queued.dueAt - now);
  if (lateBy <= 0) return undefined;
  const pool = accepted.pool.name;
  const workspaces = Math.max(1, getPoolQueue(state, pool).countWorkspaces());
  const interval = (queued.cost * workspaces) / estimateSlots(state, pool);
  const key = `queue/${pool}/${accepted.request.workspace}`;
  const retryAfterMilliseconds = assignRetryAfter(state, key, lateBy + interval, interval, now);
  const detail = `The first token is predicted in ${Math.round(predicted)} ms`;
  const slots = estimateSlots(state, pool);
  const facts = { wait, usual: firstTokenDelay, places: slots, patience: queued.dueAt - now };
  return { kind: 'deadlineUnreachable', detail, retryAfterMilliseconds, facts };
}

/**
 * Starts queued requests as soon as backend servers have capacity: when an attempt ends, when a
 * list of instances, a load report or a configuration is received, and on each tick.
 */
import { startAttempt } from '../attempts/startAttempt.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { chooseBackendServer } from '../backendServers/chooseBackendServer.js';
import { observeAttemptStarts } from '../backendServers/observeAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { countQueuedRequests } from './AdmissionState.js';
import { missesDeadlineAfter, serveLateOrFail } from './failUnreachableDeadlines.js';
import type { QueuedRequest } from './FairQueue.js';
import { isLocalWaitTooLong } from './placeRequest.js';
import { shouldWaitForCache } from './shouldWaitForCache.js';
import { orderQueueForServer } from './orderQueueForServer.js';
import type { PoolQueue } from './PoolQueue.js';

/** False for a request that has ended or has an attempt in progress. */
function isStillQueued(state: EntryState, { accepted }: QueuedRequest): boolean {
  return (
    state.requests.get(accepted.request.requestId) === accepted && accepted.attemptId === undefined
  );
}

function findServer(
  state: EntryState,
  { accepted }: QueuedRequest,
  freedServer: BackendServerState | undefined,
  now: number,
): BackendServerState | undefined {
  const local = chooseBackendServer(state, accepted, { freedServer });
  if (local !== undefined || !isLocalWaitTooLong(state, accepted, now)) return local;
  return chooseBackendServer(state, accepted, { where: 'remote', freedServer });
}

function startQueued(
  state: EntryState,
  queue: PoolQueue,
  queued: QueuedRequest,
  server: BackendServerState,
  now: number,
): EntryEffect[] {
  queue.serve(queued);
  const started = startAttempt(state, queued.accepted, now, server);
  // Counted immediately, so that the next choice during the same event takes it into account.
  observeAttemptStarts(state, started, now);
  return started;
}

/** Removes one request from the queue, or returns undefined if none can leave it now. */
function dequeueOne(
  state: EntryState,
  queue: PoolQueue,
  freedServer: BackendServerState | undefined,
  now: number,
): EntryEffect[] | undefined {
  for (const queued of orderQueueForServer(state, queue, freedServer, now)) {
    if (!isStillQueued(state, queued)) {
      queue.remove(queued);
      return [];
    }
    if (missesDeadlineAfter(state, queued, 0, now)) {
      return serveLateOrFail(state, queue, queued, now);
    }
    const server = findServer(state, queued, freedServer, now);
    if (server !== undefined && !shouldWaitForCache(state, queued.accepted, server, now)) {
      return startQueued(state, queue, queued, server, now);
    }
  }
  return undefined;
}

function drainPool(
  state: EntryState,
  queue: PoolQueue,
  freedServer: BackendServerState | undefined,
  now: number,
): EntryEffect[] {
  const effects: EntryEffect[] = [];
  const dequeue = () => dequeueOne(state, queue, freedServer, now);
  for (let dequeued = dequeue(); dequeued !== undefined; dequeued = dequeue())
    effects.push(...dequeued);
  return effects;
}

function findFreedServer(
  state: EntryState,
  event: EntryEvent,
  instance: string | undefined,
): BackendServerState | undefined {
  if (event.type === 'loadReported') return state.backendServers.get(event.report.instance);
  return instance === undefined ? undefined : state.backendServers.get(instance);
}

/** Events after which a backend server may have capacity again. */
const capacityEvents: ReadonlySet<EntryEvent['type']> = new Set<EntryEvent['type']>([
  'tick',
  'configurationReceived',
  'instancesListed',
  'loadReported',
  'requestArrived',
  'callerGone',
  'firstTokenReceived',
  'attemptFinished',
  'attemptFailed',
]);

/** @param instance - The backend server of the attempt that the event belongs to. */
export function drainQueues(
  state: EntryState,
  event: EntryEvent,
  instance: string | undefined,
): EntryEffect[] {
  if (!capacityEvents.has(event.type)) return [];
  const freedServer = findFreedServer(state, event, instance);
  const effects: EntryEffect[] = [];
  for (const [pool, queue] of state.admission.queues) {
    const mayHaveCapacity = freedServer === undefined || freedServer.platformInstance.pool === pool;
    if (queue.size > 0 && mayHaveCapacity) {
      effects.push(...drainPool(state, queue, freedServer, event.now));
    }
  }
  if (effects.length === 0) return [];
  return [
    ...effects,
    { type: 'setGauge', metric: 'queuedRequests', value: countQueuedRequests(state) },
  ];
}

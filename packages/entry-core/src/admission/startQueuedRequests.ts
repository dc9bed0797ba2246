/**
 * Starts queued requests that backend servers have capacity for. Requests that would miss their
 * deadline are marked as late and requeued, or ended. It runs on the events in `queueTriggers`.
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
import { isWithinPortion } from './isWithinPortion.js';
import { isLocalWaitTooLong } from './placeRequest.js';
import { hasEnded } from './removeEndedFromQueue.js';
import { shouldWaitForCache } from './shouldWaitForCache.js';
import { orderQueueForServer } from './orderQueueForServer.js';
import type { PoolQueue } from './PoolQueue.js';

/** False for a request that has ended or has an attempt in progress. */
function isStillQueued(state: EntryState, queued: QueuedRequest): boolean {
  return !hasEnded(state, queued) && queued.requestState.attemptId === undefined;
}

function findServer(
  state: EntryState,
  { requestState }: QueuedRequest,
  freedServer: BackendServerState | undefined,
  now: number,
): BackendServerState | undefined {
  if (!isWithinPortion(state, requestState)) return undefined;
  const nearest = chooseBackendServer(state, requestState, { freedServer });
  if (nearest !== undefined || !isLocalWaitTooLong(state, requestState, now)) return nearest;
  return chooseBackendServer(state, requestState, { where: 'remote', freedServer });
}

function startQueuedRequest(
  state: EntryState,
  queue: PoolQueue,
  queued: QueuedRequest,
  server: BackendServerState,
  now: number,
): EntryEffect[] {
  queue.serve(queued);
  const started = startAttempt(state, queued.requestState, now, server);
  // Counted immediately, so that the next choice during the same event takes it into account.
  observeAttemptStarts(state, started, now);
  return started;
}

/**
 * Handles the first queued request that can be started, ended, marked as late, or dropped because
 * it is no longer queued, and returns the effects. Returns undefined if every request has to wait.
 */
function processNext(
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
    if (server !== undefined && !shouldWaitForCache(state, queued.requestState, server, now)) {
      return startQueuedRequest(state, queue, queued, server, now);
    }
  }
  return undefined;
}

function startQueuedInPool(
  state: EntryState,
  queue: PoolQueue,
  freedServer: BackendServerState | undefined,
  now: number,
): EntryEffect[] {
  const effects: EntryEffect[] = [];
  const next = () => processNext(state, queue, freedServer, now);
  for (let result = next(); result !== undefined; result = next()) effects.push(...result);
  return effects;
}

/** The server whose capacity the event may have changed, or undefined if it may be any server. */
function findFreedServer(
  state: EntryState,
  event: EntryEvent,
  instance: string | undefined,
): BackendServerState | undefined {
  if (event.type === 'loadReported') return state.backendServers.get(event.report.instance);
  return instance === undefined ? undefined : state.backendServers.get(instance);
}

/** Events that may free capacity, or that queue a request. */
const queueTriggers: ReadonlySet<EntryEvent['type']> = new Set<EntryEvent['type']>([
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
export function startQueuedRequests(
  state: EntryState,
  event: EntryEvent,
  instance: string | undefined,
): EntryEffect[] {
  if (!queueTriggers.has(event.type)) return [];
  const freedServer = findFreedServer(state, event, instance);
  const effects: EntryEffect[] = [];
  for (const [pool, queue] of state.admission.queues) {
    const mayHaveCapacity = freedServer === undefined || freedServer.platformInstance.pool === pool;
    if (queue.size > 0 && mayHaveCapacity) {
      effects.push(...startQueuedInPool(state, queue, freedServer, event.now));
    }
  }
  if (effects.length === 0) return [];
  return [
    ...effects,
    { type: 'setGauge', metric: 'queuedRequests', value: countQueuedRequests(state) },
  ];
}

/**
 * Sends waiting requests on as soon as backend servers have room: when an attempt has ended, when
 * instances, load or configuration have come in, and on each tick.
 */
import { startAttempt } from '../attempts/startAttempt.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { chooseBackendServer } from '../backendServers/chooseBackendServer.js';
import { observeStarts } from '../backendServers/observeAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { countWaiting } from './AdmissionState.js';
import { giveUp, isLateAfter } from './dropUnreachable.js';
import type { Waiting } from './FairQueue.js';
import { isLateAtHome } from './placeRequest.js';
import { pickNext } from './pickNext.js';
import type { PoolQueue } from './PoolQueue.js';

/** Requests at the head that may be passed because every server with room has failed them. */
const MOST_PASSED = 4;

/** False for a request that has ended or is being served another way. */
function stillWaits(state: EntryState, { accepted }: Waiting): boolean {
  return (
    state.requests.get(accepted.request.requestId) === accepted && accepted.attemptId === undefined
  );
}

function findServer(
  state: EntryState,
  { accepted }: Waiting,
  freed: BackendServerState | undefined,
  now: number,
): BackendServerState | undefined {
  const local = chooseBackendServer(state, accepted, { freed });
  if (local !== undefined || !isLateAtHome(state, accepted, now)) return local;
  return chooseBackendServer(state, accepted, { where: 'remote', freed });
}

function drainPool(
  state: EntryState,
  queue: PoolQueue,
  freed: BackendServerState | undefined,
  now: number,
): EntryEffect[] {
  const effects: EntryEffect[] = [];
  const passed: Waiting[] = [];
  const pick = () => pickNext(state, queue, freed, now);
  for (let next = pick(); next !== undefined; next = pick()) {
    const waits = stillWaits(state, next);
    if (waits && isLateAfter(state, next, 0, now)) {
      queue.remove(next);
      effects.push(...giveUp(state, next, now));
      continue;
    }
    const server = waits ? findServer(state, next, freed, now) : undefined;
    if (server !== undefined) {
      queue.serve(next);
      const started = startAttempt(state, next.accepted, now, server);
      // At once, so that the next choice of this very event already counts it.
      observeStarts(state, started, now);
      effects.push(...started);
      continue;
    }
    const mayPass = next.accepted.triedInstances.size > 0 && passed.length < MOST_PASSED;
    if (waits && !mayPass) break;
    queue.remove(next);
    if (waits) passed.push(next);
  }
  passed.forEach((waiting) => queue.add(waiting));
  return effects;
}

function freedServer(
  state: EntryState,
  event: EntryEvent,
  instance: string | undefined,
): BackendServerState | undefined {
  if (event.type === 'loadReported') return state.backendServers.get(event.report.instance);
  return instance === undefined ? undefined : state.backendServers.get(instance);
}

/** Events after which a backend server may have room that had none before. */
const drainingEvents: ReadonlySet<EntryEvent['type']> = new Set<EntryEvent['type']>([
  'tick',
  'configurationReceived',
  'instancesListed',
  'loadReported',
  'requestArrived',
  'callerGone',
  'attemptFinished',
  'attemptFailed',
]);

/**
 * @param instance - The backend server that the event's attempt was at.
 */
export function drainQueues(
  state: EntryState,
  event: EntryEvent,
  instance: string | undefined,
): EntryEffect[] {
  if (!drainingEvents.has(event.type)) return [];
  const freed = freedServer(state, event, instance);
  const effects: EntryEffect[] = [];
  for (const [pool, queue] of state.admission.queues) {
    const isConcerned = freed === undefined || freed.listed.pool === pool;
    if (queue.size > 0 && isConcerned) {
      effects.push(...drainPool(state, queue, freed, event.now));
    }
  }
  if (effects.length === 0) return [];
  return [...effects, { type: 'setGauge', metric: 'queuedRequests', value: countWaiting(state) }];
}

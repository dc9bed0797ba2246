/**
 * Decides what a loss was, once its probe is answered or has not been for too long: a lost
 * connection, a mass loss of many backend servers, or a crash that one request may have caused.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { startRetriesAwaitingServer } from '../attempts/advanceRetries.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { attributeCrash, removeProvisionalSuspects } from './attributeCrash.js';
import { crashIdOf } from './crashIdOf.js';
import { failAttemptsAt } from './failAttemptsAt.js';
import { hasRestarted, recordResets, type ProbeResult } from './hasRestarted.js';
import { detectMassLoss } from './detectMassLoss.js';
import { probeBackendServer } from './probeBackendServer.js';
import type { ConnectionLoss } from './QuarantineState.js';

/** How long a probe may go unanswered before its backend server is taken for dead. */
export const PROBE_TIMEOUT_MILLISECONDS = 1000;

/** How often a backend server that is down is probed again. */
const DOWN_PROBE_INTERVAL_MILLISECONDS = 2000;

function markDown(
  state: EntryState,
  loss: ConnectionLoss,
  crashId: string,
  now: MonotonicMilliseconds,
) {
  const probeDueAt = now + DOWN_PROBE_INTERVAL_MILLISECONDS;
  const digests = new Set(loss.requestsInProgress.keys());
  const since = loss.openedAt;
  state.quarantine.down.set(loss.instance, { since, probeDueAt, digests, crashId });
}

/**
 * A backend server too busy for new connections still feeds its old ones. To end these for an
 * unanswered probe would cut streams that are well. So would one that went out just before a caller
 * began to hold its stream up: the engine gave more than the caller could take.
 */
function isStillServing(state: EntryState, { instance, openedAt }: ConnectionLoss): boolean {
  return [...(state.backendServers.get(instance)?.attemptIds ?? [])].some((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    return attempt?.pausedByCaller === true || (attempt?.tokensUpdatedAt ?? openedAt) > openedAt;
  });
}

export function classifyLoss(
  state: EntryState,
  loss: ConnectionLoss,
  result: ProbeResult,
  timestamps: Timestamps,
): EntryEffect[] {
  const { instance } = loss;
  state.quarantine.unresolvedLosses.delete(instance);
  reportSoon(state);
  const alive = result.answered || isStillServing(state, loss);
  if (alive && !(result.answered && hasRestarted(state, loss, result))) {
    recordResets(state, loss);
    const lost = removeProvisionalSuspects(state, instance);
    if (lost === 0) return [];
    return [
      { type: 'log', event: 'connectionOnlyLost', fields: { backendServer: instance, lost } },
    ];
  }
  const crashId = crashIdOf(state, loss, timestamps);
  state.quarantine.lastCrashes.set(instance, { crashId, confirmedAt: timestamps.now });
  const mass = !result.answered && detectMassLoss(state, loss);
  // Also if it is back already: its suspects must not go there again before the next probe.
  markDown(state, loss, crashId, timestamps.now);
  const attributionEffects = mass ? [] : attributeCrash(state, loss, crashId, timestamps);
  if (mass) removeProvisionalSuspects(state, instance);
  const members = loss.requestsInProgress.size;
  return [
    {
      type: 'log',
      event: 'backendServerCrashed',
      fields: { backendServer: instance, crashId, members, mass },
    },
    ...attributionEffects,
    ...failAttemptsAt(state, instance, timestamps),
  ];
}

/** A probe has come back, for a loss or for a backend server that was down. */
export function receiveProbeAnswer(
  state: EntryState,
  instance: string,
  result: ProbeResult,
  timestamps: Timestamps,
): EntryEffect[] {
  const loss = state.quarantine.unresolvedLosses.get(instance);
  const effects = loss === undefined ? [] : classifyLoss(state, loss, result, timestamps);
  const { incarnation } = result;
  if (incarnation !== undefined) state.quarantine.incarnations.set(instance, incarnation);
  if (loss === undefined && result.answered) state.quarantine.down.delete(instance);
  return loss === undefined
    ? effects
    : [...effects, ...startRetriesAwaitingServer(state, timestamps.now)];
}

/** Judges losses whose probe is overdue, and probes again what is down. */
export function advanceLosses(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  const overdue = [...state.quarantine.unresolvedLosses.values()].filter(
    ({ openedAt }) => openedAt + PROBE_TIMEOUT_MILLISECONDS <= timestamps.now,
  );
  const classified = overdue.flatMap((loss) =>
    classifyLoss(state, loss, { answered: false }, timestamps),
  );
  const probes = [...state.quarantine.down].flatMap(([instance, down]) => {
    if (!state.backendServers.has(instance)) state.quarantine.down.delete(instance);
    if (down.probeDueAt > timestamps.now) return [];
    down.probeDueAt = timestamps.now + DOWN_PROBE_INTERVAL_MILLISECONDS;
    return probeBackendServer(state, instance);
  });
  return [...classified, ...probes];
}

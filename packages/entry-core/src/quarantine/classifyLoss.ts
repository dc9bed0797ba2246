/**
 * Classifies a loss once its probe is answered or times out: a lost connection only, a mass loss
 * of several backend servers, or a crash that a single request may have caused. Each loss is
 * classified exactly once.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { startRequestsAwaitingServer } from '../attempts/advanceRetries.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { attributeCrash, removeProvisionalSuspects } from './attributeCrash.js';
import { crashIdOf } from './crashIdOf.js';
import { failAttemptsAt } from './failAttemptsAt.js';
import { hasRestarted, recordResetsWithoutCrash, type ProbeResult } from './hasRestarted.js';
import { detectMassLoss } from './detectMassLoss.js';
import { recordCrashEvidence } from './parts/recordCrashEvidence.js';
import { probeBackendServer } from './probeBackendServer.js';
import type { ConnectionLoss } from './QuarantineState.js';

/** How long to wait for the answer to a probe. */
export const PROBE_TIMEOUT_MILLISECONDS = 1000;

/** Interval between probes of a backend server that is down. */
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
 * True if the server has sent tokens since the loss was recorded, or if a caller has paused one of
 * its streams, from which no tokens are expected. A server that is too busy to answer a probe may
 * still serve these streams, and failing them would interrupt healthy answers.
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
    recordResetsWithoutCrash(state, loss);
    const lost = removeProvisionalSuspects(state, instance);
    if (lost === 0) return [];
    return [
      { type: 'log', event: 'connectionOnlyLost', fields: { backendServer: instance, lost } },
    ];
  }
  const crashId = crashIdOf(state, loss, timestamps);
  // Its next process may run on another machine.
  state.speeds.recordRestart(instance);
  state.quarantine.lastCrashes.set(instance, { crashId, confirmedAt: timestamps.now });
  recordCrashEvidence(state, loss, crashId, timestamps);
  const mass = !result.answered && detectMassLoss(state, loss);
  // Also if the server has restarted, so that suspects do not return to it before its next probe.
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

/** A brittle server that is flooded when it is back falls over again. */
function endDowntime(state: EntryState, instance: string, now: MonotonicMilliseconds): void {
  if (!state.quarantine.down.delete(instance) || !state.brittleness.isBrittle(instance)) return;
  const server = state.backendServers.get(instance);
  if (server !== undefined) server.balancing.slowStartAt = now;
}

/** Handles the answer to a probe of an unresolved loss or of a server that is down. */
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
  if (loss === undefined && result.answered) endDowntime(state, instance, timestamps.now);
  return loss === undefined
    ? effects
    : [...effects, ...startRequestsAwaitingServer(state, timestamps.now)];
}

/**
 * Classifies losses whose probe timed out, and probes again the servers that are down. Servers
 * that are no longer listed are removed.
 */
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

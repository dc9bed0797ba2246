/** Learns from rejections by brittle backend servers, of requests of this entry or of others. */
import type { EntryReport, LogFields, Milliseconds } from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { isBrittle } from './brittleAllowance.js';

/** The load in the head of a rejection is received a little before the failure of its attempt. */
const MAX_LOAD_AGE_MILLISECONDS: Milliseconds = 50;

/**
 * Part of the concurrency limit that was in use when the server rejected the request: by what it has said in
 * that answer, or else by what was assumed when the request was sent.
 */
function findUsedFraction(
  { clocks }: EntryState,
  { balancing, load, loadReceivedAt }: BackendServerState,
  { assumedRoom }: AttemptState,
): number {
  const loadAge = clocks.now - (loadReceivedAt ?? -Infinity);
  const used =
    load !== undefined && loadAge <= MAX_LOAD_AGE_MILLISECONDS
      ? load.running + load.queued
      : assumedRoom.inProgress - 1;
  return used / balancing.maxLimit;
}

function logLearnt(instance: string, source: string, fields: LogFields): EntryEffect {
  return {
    type: 'log',
    event: 'rejectionLearnt',
    fields: { backendServer: instance, source, ...fields },
  };
}

/** Learns from a rejection that this entry got; the others are told at once. */
export function learnFromRejection(state: EntryState, attempt: AttemptState): EntryEffect[] {
  const { instance } = attempt;
  const server = state.backendServers.get(instance);
  if (server === undefined || !isBrittle(state, instance)) return [];
  const usedFraction = findUsedFraction(state, server, attempt);
  const stated = state.rejections.learn(server.platformInstance, usedFraction, state.clocks);
  state.rejections.record(server.platformInstance, stated, state.clocks.now);
  reportSoon(state);
  const { usableFraction } = stated;
  return [logLearnt(instance, 'answer', { usedFraction, usableFraction })];
}

export function receiveReportedRejections(
  state: EntryState,
  { instance: entry, rejections = {} }: EntryReport,
): EntryEffect[] {
  return Object.entries(rejections).flatMap(([instance, stated]) => {
    const server = state.backendServers.get(instance);
    if (server === undefined) return [];
    const isNews = state.rejections.record(server.platformInstance, stated, state.clocks.now);
    const { usableFraction, statedAt } = stated;
    const age = state.clocks.wallNow - statedAt;
    return isNews ? [logLearnt(instance, entry, { usableFraction, age })] : [];
  });
}

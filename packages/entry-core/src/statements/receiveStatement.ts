/**
 * Handles what a backend server says about itself, in an answer to this entry or to another one that
 * reports it.
 */
import type { EntryReport, Milliseconds, StatedRateLimit } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';

type ServerStatedEvent = Extract<EntryEvent, { type: 'serverStated' }>;
type Statement = Omit<ServerStatedEvent, 'type' | keyof Timestamps>;

/** A change by less than this fraction is reported to the other entries with the next report. */
const URGENT_CHANGE_FRACTION = 0.1;

/**
 * False for a statement that changes nothing, which is not dispatched: most answers carry none, and
 * an event for each would cost more than the answer.
 */
export function isStatementOfInterest(
  state: EntryState,
  { instance, requestsPerSecond = Infinity, restFor }: Statement,
): boolean {
  if (restFor !== undefined) return true;
  return requestsPerSecond < Infinity || state.rateLimits.at(instance) < Infinity;
}

function toLogValue(requestsPerSecond: number | undefined): number | undefined {
  return requestsPerSecond === Infinity ? undefined : requestsPerSecond;
}

function isUrgent(before: number, after: number): boolean {
  if (before === Infinity || after === Infinity) return before !== after;
  return Math.abs(after - before) > before * URGENT_CHANGE_FRACTION;
}

/** Records a limit; returns no effects if it is not news. */
function recordLimit(
  state: EntryState,
  instance: string,
  limit: StatedRateLimit,
  source: 'answer' | string,
): EntryEffect[] {
  const previous = state.rateLimits.record(instance, limit);
  if (previous === false) return [];
  const before = previous?.requestsPerSecond ?? Infinity;
  const after = limit.requestsPerSecond;
  if (before === after) return [];
  if (source === 'answer' && isUrgent(before, after)) reportSoon(state);
  const fields = {
    backendServer: instance,
    requestsPerSecond: toLogValue(after),
    previous: toLogValue(before),
    previousAge: previous && state.clocks.wallNow - previous.statedAt,
    age: state.clocks.wallNow - limit.statedAt,
    source,
  };
  return [
    { type: 'log', event: 'rateLimitChanged', fields },
    {
      type: 'setGauge',
      metric: 'limitedBackendServers',
      value: state.rateLimits.limitedInstances.length,
    },
  ];
}

function receiveLimit(
  state: EntryState,
  { instance, requestsPerSecond, wallNow }: ServerStatedEvent,
): EntryEffect[] {
  if (requestsPerSecond === undefined) return [];
  // Newer than what is known, also if the clock of the entry that read that is ahead.
  const knownAt = state.rateLimits.statedAt(instance) ?? Number.NEGATIVE_INFINITY;
  const statedAt = Math.max(wallNow, knownAt + 1);
  return recordLimit(state, instance, { requestsPerSecond, statedAt }, 'answer');
}

/** Records that a backend server wants nothing from this entry for a while. */
export function recordRest(
  state: EntryState,
  instance: string,
  restFor: Milliseconds,
): EntryEffect[] {
  const { now } = state.clocks;
  const previous = state.rests.remaining(instance, now);
  state.rests.record(instance, now + restFor);
  const fields = { backendServer: instance, restFor, previous };
  return [{ type: 'log', event: 'restRequested', fields }];
}

export function receiveStatement(state: EntryState, event: ServerStatedEvent): EntryEffect[] {
  const { instance, restFor } = event;
  return [
    ...receiveLimit(state, event),
    ...(restFor === undefined ? [] : recordRest(state, instance, restFor)),
  ];
}

/** Applies what another entry knows of limits. */
export function receiveReportedLimits(
  state: EntryState,
  { instance: entry, rateLimits = {} }: EntryReport,
): EntryEffect[] {
  return Object.entries(rateLimits).flatMap(([instance, limit]) =>
    recordLimit(state, instance, limit, entry),
  );
}

/**
 * Handles what a backend server says about itself, in an answer to this entry or to another one that
 * reports it.
 */
import type {
  EntryReport,
  Milliseconds,
  StatedBrittleness,
  StatedRateLimit,
} from '@hornbeampond/schema';
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
  {
    instance,
    requestsPerSecond = Infinity,
    survivedRejections = Infinity,
    restFor,
    isLeaving = false,
  }: Statement,
): boolean {
  if (survivedRejections < Infinity || state.brittleness.isBrittle(instance)) return true;
  if (restFor !== undefined || (isLeaving && !state.departures.has(instance))) return true;
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
  const statedAt = state.rateLimits.timeOfNext(instance, wallNow);
  return recordLimit(state, instance, { requestsPerSecond, statedAt }, 'answer');
}

/** Records how brittle a server is; returns no effects if it is not news. */
function recordBrittleness(
  state: EntryState,
  instance: string,
  stated: StatedBrittleness,
  source: 'answer' | string,
): EntryEffect[] {
  const previous = state.brittleness.record(instance, stated);
  if (previous === false) return [];
  const before = previous?.survivedRejections ?? Infinity;
  const after = stated.survivedRejections;
  if (before === after) return [];
  if (source === 'answer') reportSoon(state);
  const fields = {
    backendServer: instance,
    survivedRejections: toLogValue(after),
    previous: toLogValue(before),
    age: state.clocks.wallNow - stated.statedAt,
    source,
  };
  return [
    { type: 'log', event: 'brittlenessChanged', fields },
    {
      type: 'setGauge',
      metric: 'brittleBackendServers',
      value: state.brittleness.brittleInstances.length,
    },
  ];
}

/** A value that cannot be read changes nothing: the server says it again in its next answer. */
function receiveBrittleness(
  state: EntryState,
  { instance, survivedRejections, wallNow }: ServerStatedEvent,
): EntryEffect[] {
  if (survivedRejections === undefined) return [];
  const isNews = state.brittleness.at(instance) !== survivedRejections;
  if (!isNews && survivedRejections === Infinity) return [];
  const statedAt = state.brittleness.timeOfNext(instance, wallNow);
  return recordBrittleness(state, instance, { survivedRejections, statedAt }, 'answer');
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

/** Takes a backend server that says that it leaves out of the choice, for good. */
function recordLeaving(
  state: EntryState,
  instance: string,
  source: 'answer' | string,
): EntryEffect[] {
  const isKnown = state.departures.has(instance);
  state.departures.record(instance, state.clocks.now);
  const server = state.backendServers.get(instance);
  if (server !== undefined) server.isLeaving = true;
  if (isKnown) return [];
  if (source === 'answer') reportSoon(state);
  return [{ type: 'log', event: 'serverLeaving', fields: { backendServer: instance, source } }];
}

export function receiveStatement(state: EntryState, event: ServerStatedEvent): EntryEffect[] {
  const { instance, restFor, isLeaving = false } = event;
  return [
    ...(isLeaving ? recordLeaving(state, instance, 'answer') : []),
    ...receiveLimit(state, event),
    ...receiveBrittleness(state, event),
    ...(restFor === undefined ? [] : recordRest(state, instance, restFor)),
  ];
}

/** Applies what backend servers have said to another entry and concerns all of them. */
export function receiveReportedStatements(
  state: EntryState,
  { instance: entry, rateLimits = {}, brittleness = {}, departures = [] }: EntryReport,
): EntryEffect[] {
  return [
    ...departures.flatMap((instance) => recordLeaving(state, instance, entry)),
    ...Object.entries(rateLimits).flatMap(([instance, limit]) =>
      recordLimit(state, instance, limit, entry),
    ),
    ...Object.entries(brittleness).flatMap(([instance, stated]) =>
      recordBrittleness(state, instance, stated, entry),
    ),
  ];
}

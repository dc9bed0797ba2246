/** Handles what a backend server says about itself in an answer to this entry. */
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';

type ServerStatedEvent = Extract<EntryEvent, { type: 'serverStated' }>;

/**
 * False for a statement that changes nothing, which is not dispatched: most answers carry none, and
 * an event for each would cost more than the answer.
 */
export function isStatementOfInterest(
  state: EntryState,
  {
    instance,
    requestsPerSecond = Infinity,
  }: Pick<ServerStatedEvent, 'instance' | 'requestsPerSecond'>,
): boolean {
  return requestsPerSecond < Infinity || state.rateLimits.at(instance) < Infinity;
}

export function receiveStatement(state: EntryState, event: ServerStatedEvent): EntryEffect[] {
  const { instance, requestsPerSecond, wallNow } = event;
  if (requestsPerSecond === undefined) return [];
  const limit = { requestsPerSecond, statedAt: wallNow };
  const previous = state.rateLimits.record(instance, limit);
  if (previous?.requestsPerSecond === requestsPerSecond) return [];
  const fields = {
    backendServer: instance,
    requestsPerSecond,
    previous: previous?.requestsPerSecond,
    previousAge: previous && wallNow - previous.statedAt,
  };
  return [
    { type: 'log', event: 'rateLimitChanged', fields },
    { type: 'setGauge', metric: 'limitedBackendServers', value: state.rateLimits.limitedCount },
  ];
}

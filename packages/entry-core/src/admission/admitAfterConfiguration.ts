/**
 * Admits the requests that have waited for a starting entry's configuration, all in one moment. Each is
 * noted at its engine before the next is placed: otherwise all of them go to the engines that look idle,
 * a dozen long prompts one behind the other, while the others stay idle.
 */
import { observeAttemptStarts } from '../backendServers/observeAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { admitRequest } from './admitRequest.js';
import { takeAwaitingConfiguration } from './awaitConfiguration.js';

export function admitAfterConfiguration(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  return takeAwaitingConfiguration(state).flatMap(({ request, arrivedAt }) => {
    const admitted = admitRequest(state, request, timestamps, arrivedAt);
    observeAttemptStarts(state, admitted, timestamps.now);
    return admitted;
  });
}

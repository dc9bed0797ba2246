/**
 * Admits all requests that were waiting for the first configuration. Each start is counted at its
 * backend server before the next request is placed, so that they do not all go to the same servers.
 */
import { observeAttemptStarts } from '../backendServers/observeAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { admitRequest } from './admitRequest.js';
import { takeAwaitingConfiguration } from './awaitConfiguration.js';

export function admitAfterConfiguration(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  return takeAwaitingConfiguration(state).flatMap(({ request, arrivedAt }) => {
    const admitted = admitRequest(state, request, timestamps, { arrivedAt });
    observeAttemptStarts(state, admitted, timestamps.now);
    return admitted;
  });
}

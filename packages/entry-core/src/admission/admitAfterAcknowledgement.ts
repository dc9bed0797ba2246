/**
 * Decides again on requests that were held until a store acknowledges earlier spending. Each start
 * is counted at its backend server before the next request is placed.
 */
import { observeAttemptStarts } from '../backendServers/observeAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { admitRequest } from './admitRequest.js';
import {
  takeAcknowledged,
  takeOverdue,
  type RequestAwaitingAcknowledgement,
} from './awaitAcknowledgement.js';

function admitAll(
  state: EntryState,
  awaiting: readonly RequestAwaitingAcknowledgement[],
  timestamps: Timestamps,
): EntryEffect[] {
  return awaiting.flatMap(({ request, ...earlier }) => {
    const admitted = admitRequest(state, request, timestamps, earlier);
    observeAttemptStarts(state, admitted, timestamps.now);
    return admitted;
  });
}

export function admitAfterAcknowledgement(
  state: EntryState,
  spent: Readonly<Record<string, number>>,
  timestamps: Timestamps,
): EntryEffect[] {
  return admitAll(state, takeAcknowledged(state, spent), timestamps);
}

/** Tick handler: decides on the requests whose wait has ended. */
export function expireAwaitingAcknowledgement(
  state: EntryState,
  timestamps: Timestamps,
): EntryEffect[] {
  return admitAll(state, takeOverdue(state, timestamps.now), timestamps);
}

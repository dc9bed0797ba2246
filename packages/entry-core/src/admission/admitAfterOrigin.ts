/**
 * Decides on requests for the rest of a stream, now that the stores have said where it began, or that the
 * list of servers has been read anew.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import { observeAttemptStarts } from '../backendServers/observeAttempt.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent, Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { receiveOrigin, takeAwaitingList, type HeldTakeUp } from '../streamVersions/heldTakeUps.js';
import { admitRequest } from './admitRequest.js';

function admitHeld(
  state: EntryState,
  { request, arrivedAt, takeUp }: HeldTakeUp,
  timestamps: Timestamps,
): EntryEffect[] {
  return admitRequest(state, request, timestamps, { arrivedAt, takeUp });
}

export function admitAfterOrigin(
  state: EntryState,
  event: Extract<EntryEvent, { type: 'streamOriginAnswered' }>,
): EntryEffect[] {
  const held = receiveOrigin(state, event);
  return held === undefined ? [] : admitHeld(state, held, event);
}

/** Called when this entry has read the list, or could not read it. */
export function admitAfterList(
  state: EntryState,
  readAt: MonotonicMilliseconds,
  isRead: boolean,
  timestamps: Timestamps,
): EntryEffect[] {
  return takeAwaitingList(state, readAt).flatMap((held) => {
    const takeUp = { ...held.takeUp, ...(isRead ? {} : { isListUnread: true }) };
    const effects = admitHeld(state, { ...held, takeUp }, timestamps);
    observeAttemptStarts(state, effects, timestamps.now);
    return effects;
  });
}

/**
 * Holds requests for the rest of a stream until it is known where it may go on: until the stores have
 * answered where it began and, if none knows, until this entry has read the platform's list anew.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest, EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';

/** What has been found out for a request that takes a stream up. */
export interface TakeUp {
  /** When this entry first handled the request; its stream has begun before. */
  readonly askedAt: MonotonicMilliseconds;
  /** Whether enough stores have answered that one of them would know; undefined before that. */
  readonly isConclusive?: boolean;
  /** True if the list could not be read. */
  readonly isListUnread?: boolean;
}

export interface HeldTakeUp {
  readonly request: CallerRequest;
  readonly arrivedAt: MonotonicMilliseconds;
  readonly takeUp: TakeUp;
}

/** Holds a request until the stores have answered. */
export function awaitOrigin(
  state: EntryState,
  held: HeldTakeUp,
  firstRequestId: string,
): EntryEffect[] {
  const { requestId } = held.request;
  state.takeUpsAwaitingOrigin.set(requestId, held);
  return [
    { type: 'findStreamOrigin', requestId, firstRequestId },
    { type: 'log', event: 'requestAwaitsOrigin', fields: { requestId, resumes: firstRequestId } },
  ];
}

/** Holds a request until the list has been read. */
export function awaitList(state: EntryState, held: HeldTakeUp): EntryEffect[] {
  const { requestId } = held.request;
  state.takeUpsAwaitingList.set(requestId, held);
  return [
    { type: 'readInstances' },
    { type: 'log', event: 'requestAwaitsList', fields: { requestId } },
  ];
}

/** Takes back a request for which the stores have answered, and records what they know. */
export function receiveOrigin(
  state: EntryState,
  event: Extract<EntryEvent, { type: 'streamOriginAnswered' }>,
): HeldTakeUp | undefined {
  const { requestId, origin, isConclusive, histories = [], now } = event;
  const held = state.takeUpsAwaitingOrigin.get(requestId);
  if (held === undefined) return undefined;
  // Versions that this entry has missed while it was out of touch.
  histories.forEach((history) => state.versions.adoptHistory(history, now, held.takeUp.askedAt));
  state.takeUpsAwaitingOrigin.delete(requestId);
  if (origin !== undefined) state.streamOrigins.record(origin, now);
  // Also if it is of another workspace, which is then refused like one that nobody knows.
  const { firstRequestId } = held.request.resumption ?? {};
  if (firstRequestId !== undefined) {
    state.streamOrigins.recordUnknown(firstRequestId, isConclusive, now);
  }
  return { ...held, takeUp: { ...held.takeUp, isConclusive } };
}

/** Takes back the requests that this entry handled before the list was asked for. */
export function takeAwaitingList(
  state: EntryState,
  readAt: MonotonicMilliseconds,
): readonly HeldTakeUp[] {
  const due = [...state.takeUpsAwaitingList.values()].filter(
    ({ takeUp }) => takeUp.askedAt <= readAt,
  );
  due.forEach(({ request }) => state.takeUpsAwaitingList.delete(request.requestId));
  return due;
}

/** Takes back all held requests, to refuse them. */
export function takeAllHeld(state: EntryState): readonly HeldTakeUp[] {
  const held = [state.takeUpsAwaitingOrigin, state.takeUpsAwaitingList];
  const all = held.flatMap((takeUps) => [...takeUps.values()]);
  held.forEach((takeUps) => takeUps.clear());
  return all;
}

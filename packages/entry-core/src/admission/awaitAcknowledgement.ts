/**
 * Holds requests whose workspace has spent its share of the allowance that no store has
 * acknowledged yet. Acknowledgements take milliseconds, so a short wait is better for the caller
 * than a refusal. If stores do not answer, the request is refused when its wait ends.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { TICK_INTERVAL_MILLISECONDS } from '../slowness/LoopDelayDetector.js';
import type { HeldTakeUp } from '../streamVersions/heldTakeUps.js';
import { reportUnreportedSpending } from '../limits/checkAllowance.js';

const MAX_WAIT_MILLISECONDS: Milliseconds = 250;

/** The wait of an entry that is short of processor time, and reads acknowledgements late, ends here. */
const MAX_WAIT_OF_SLOW_ENTRY_MILLISECONDS: Milliseconds = 600;

export interface RequestAwaitingAcknowledgement extends HeldTakeUp {
  readonly workspace: string;
  /** Counts from the first decision: a slow entry may decide long after the arrival. */
  readonly waitsUntil: MonotonicMilliseconds;
}

/**
 * When the wait of a request ends that is decided on for the first time now. The report and its
 * acknowledgement are each delayed by up to a turn of the event loop.
 */
export function acknowledgementDueAt(
  { slowness }: EntryState,
  now: MonotonicMilliseconds,
): MonotonicMilliseconds {
  const { lateFraction } = slowness.detector;
  const turnDelay = (TICK_INTERVAL_MILLISECONDS * lateFraction) / Math.max(0.01, 1 - lateFraction);
  const wait = MAX_WAIT_MILLISECONDS + 2 * turnDelay;
  return now + Math.min(MAX_WAIT_OF_SLOW_ENTRY_MILLISECONDS, wait);
}

/** Holds the request, or returns undefined if it has waited long enough or too many are held. */
export function awaitAcknowledgement(
  state: EntryState,
  awaiting: RequestAwaitingAcknowledgement,
  now: MonotonicMilliseconds,
): EntryEffect[] | undefined {
  const { requestsAwaitingAcknowledgement: held, identity } = state;
  const { requestId } = awaiting.request;
  if (awaiting.waitsUntil <= now || held.size >= identity.maxQueuedRequests) {
    return undefined;
  }
  held.set(requestId, awaiting);
  return [
    ...reportUnreportedSpending(state, awaiting.workspace),
    {
      type: 'log',
      event: 'requestAwaitsAcknowledgement',
      fields: { requestId, workspace: awaiting.workspace, waited: now - awaiting.arrivedAt },
    },
  ];
}

/** Removes and returns the held requests that `isDue` selects, in order of arrival. */
function takeHeld(
  state: EntryState,
  isDue: (awaiting: RequestAwaitingAcknowledgement) => boolean,
): RequestAwaitingAcknowledgement[] {
  const due = [...state.requestsAwaitingAcknowledgement.values()].filter(isDue);
  due.forEach(({ request }) => state.requestsAwaitingAcknowledgement.delete(request.requestId));
  return due;
}

/** Removes and returns the held requests of workspaces whose spending was acknowledged. */
export function takeAcknowledged(
  state: EntryState,
  spent: Readonly<Record<string, number>>,
): RequestAwaitingAcknowledgement[] {
  return takeHeld(state, ({ workspace }) => spent[workspace] !== undefined);
}

/** Removes and returns the held requests whose wait has ended, or all of them during a shutdown. */
export function takeOverdue(
  state: EntryState,
  now: MonotonicMilliseconds,
): RequestAwaitingAcknowledgement[] {
  return takeHeld(state, ({ waitsUntil }) => state.refusesNewRequests || waitsUntil <= now);
}

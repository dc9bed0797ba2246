/**
 * Suspends purchases at a place (one instance class in one data centre) for a while: after failed
 * starts, and after reclaims. A failed start is one that was refused or stays unanswered. Until a
 * closure ends, the plan uses the next cheapest place.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Milliseconds } from '@hornbeampond/schema';
import type { ClosedPlace } from '../events.js';
import { placeKey, type PlaceClosure, type ControllerState } from '../state.js';

/** A failed start is consecutive if it comes within this time after the previous closure's end. */
const MAX_CONSECUTIVE_FAILURE_GAP_MILLISECONDS: Milliseconds = 10 * 60_000;

/**
 * Draws a wait between half and all of a limit that doubles with each consecutive failed start. The
 * jitter keeps controllers and pools whose starts failed together from retrying together.
 */
function drawBackoff(state: ControllerState, consecutiveFailedStarts: number): Milliseconds {
  const { initialStartBackoff, maxStartBackoff } = state.policy;
  const backoffLimit = Math.min(
    maxStartBackoff,
    initialStartBackoff * 2 ** Math.min(consecutiveFailedStarts - 1, 20),
  );
  return uniformInt(state.random, Math.ceil(backoffLimit / 2), Math.ceil(backoffLimit));
}

/** Closes a place in the controller's own data centre after a failed start. */
export function closeAfterFailedStart(
  state: ControllerState,
  instanceClass: string,
  reason: 'refused' | 'unanswered',
): PlaceClosure {
  const place = placeKey(state.dataCentre, instanceClass);
  const previous = state.placeClosures.get(place);
  const isConsecutive =
    previous !== undefined && state.now < previous.until + MAX_CONSECUTIVE_FAILURE_GAP_MILLISECONDS;
  // Starts sent together often fail together: a failed start during a closure does not increase
  // the count if the count is above 0.
  const isAlreadyCounted =
    previous !== undefined && previous.until > state.now && previous.consecutiveFailedStarts > 0;
  const consecutiveFailedStarts =
    (isConsecutive ? previous.consecutiveFailedStarts : 0) + (isAlreadyCounted ? 0 : 1);
  // A closure after a reclaim keeps its reason, so that a later successful start does not end it.
  const isReclaimed = previous?.reason === 'reclaimed' && previous.until > state.now;
  const until = Math.max(
    state.now + drawBackoff(state, consecutiveFailedStarts),
    isReclaimed ? previous.until : 0,
  );
  const closure = {
    dataCentre: state.dataCentre,
    instanceClass,
    reason: isReclaimed ? previous.reason : reason,
    until,
    consecutiveFailedStarts,
  };
  state.placeClosures.set(place, closure);
  return closure;
}

/** Closes a place after a reclaim there. */
export function closeAfterReclaim(
  state: ControllerState,
  dataCentre: string,
  instanceClass: string,
): void {
  const place = placeKey(dataCentre, instanceClass);
  const previous = state.placeClosures.get(place);
  const until = Math.max(state.now + state.policy.reclaimCooldown, previous?.until ?? 0);
  const consecutiveFailedStarts = previous?.consecutiveFailedStarts ?? 0;
  state.placeClosures.set(place, {
    dataCentre,
    instanceClass,
    reason: 'reclaimed',
    until,
    consecutiveFailedStarts,
  });
}

/** Reopens a place after a successful start, unless the closure's latest reason is a reclaim. */
export function reopenPlace(state: ControllerState, instanceClass: string): void {
  const closure = state.placeClosures.get(placeKey(state.dataCentre, instanceClass));
  if (closure !== undefined && closure.reason !== 'reclaimed') {
    state.placeClosures.delete(placeKey(state.dataCentre, instanceClass));
  }
}

/** Closed places of the own data centre, for the report to the other controllers. */
export function listOwnClosedPlaces(state: ControllerState): ClosedPlace[] {
  return [...state.placeClosures.values()]
    .filter((closure) => closure.dataCentre === state.dataCentre && closure.until > state.now)
    .map(({ dataCentre, instanceClass, until }) => ({
      dataCentre,
      instanceClass,
      remaining: until - state.now,
    }));
}

/**
 * Closes places to purchases for a while: after refused or unanswered starts, and after reclaims.
 * Until a closure ends, the plan uses the next cheapest place.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Milliseconds } from '@hornbeampond/schema';
import type { ClosedOffer } from '../events.js';
import { placeKey, type PlaceClosure, type ControllerState } from '../state.js';

/** A refusal is consecutive if it comes less than this long after the previous closure's end. */
const CONSECUTIVE_REFUSAL_GAP_MILLISECONDS: Milliseconds = 10 * 60_000;

/**
 * Draws a wait between half and all of a limit that doubles with each consecutive refusal. The
 * jitter keeps controllers and pools that were refused together from retrying together.
 */
function drawBackoff(state: ControllerState, refusals: number): Milliseconds {
  const { initialStartBackoff, maxStartBackoff } = state.policy;
  const backoffLimit = Math.min(
    maxStartBackoff,
    initialStartBackoff * 2 ** Math.min(refusals - 1, 20),
  );
  return uniformInt(state.random, Math.ceil(backoffLimit / 2), Math.ceil(backoffLimit));
}

/** Closes a place in the controller's own data centre after a refused or unanswered start. */
export function closeAfterRefusal(
  state: ControllerState,
  instanceClass: string,
  reason: 'refused' | 'unanswered',
): PlaceClosure {
  const place = placeKey(state.dataCentre, instanceClass);
  const previous = state.placeClosures.get(place);
  const isConsecutive =
    previous !== undefined && state.now < previous.until + CONSECUTIVE_REFUSAL_GAP_MILLISECONDS;
  // A refusal while the place is closed by an earlier one is of the same batch; both count as one.
  const isSameBatch = previous !== undefined && previous.until > state.now && previous.refusals > 0;
  const refusals = (isConsecutive ? previous.refusals : 0) + (isSameBatch ? 0 : 1);
  const until = Math.max(
    state.now + drawBackoff(state, refusals),
    previous?.reason === 'reclaimed' ? previous.until : 0,
  );
  const closure = { dataCentre: state.dataCentre, instanceClass, reason, until, refusals };
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
  const refusals = previous?.refusals ?? 0;
  state.placeClosures.set(place, {
    dataCentre,
    instanceClass,
    reason: 'reclaimed',
    until,
    refusals,
  });
}

/** Reopens a place after a successful start, unless it is closed because of a reclaim. */
export function reopenPlace(state: ControllerState, instanceClass: string): void {
  const closure = state.placeClosures.get(placeKey(state.dataCentre, instanceClass));
  if (closure !== undefined && closure.reason !== 'reclaimed') {
    state.placeClosures.delete(placeKey(state.dataCentre, instanceClass));
  }
}

/** Closed places of the own data centre, for the report to the other controllers. */
export function listOwnClosedOffers(state: ControllerState): ClosedOffer[] {
  return [...state.placeClosures.values()]
    .filter((closure) => closure.dataCentre === state.dataCentre && closure.until > state.now)
    .map(({ dataCentre, instanceClass, until }) => ({
      dataCentre,
      instanceClass,
      remaining: until - state.now,
    }));
}

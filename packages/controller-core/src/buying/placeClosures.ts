/**
 * Places where nothing is bought for a while: starts were refused or went unanswered, or instances
 * were reclaimed there lately. The plan then takes the next cheapest place, and comes back when
 * the closure ends.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Milliseconds } from '@hornbeampond/schema';
import type { ClosedOffer } from '../events.js';
import { placeKey, type PlaceClosure, type ControllerState } from '../state.js';

/** A refusal counts as one in a row if it comes this soon after the last closure ended. */
const CONSECUTIVE_REFUSAL_GAP_MILLISECONDS: Milliseconds = 10 * 60_000;

/**
 * The wait doubles with each refusal in a row. A random half of it is left out, so that the
 * controllers and pools that were refused together do not all ask again together.
 */
function drawBackoff(state: ControllerState, refusals: number): Milliseconds {
  const { initialStartBackoff, maxStartBackoff } = state.policy;
  const backoffLimit = Math.min(
    maxStartBackoff,
    initialStartBackoff * 2 ** Math.min(refusals - 1, 20),
  );
  return uniformInt(state.random, Math.ceil(backoffLimit / 2), Math.ceil(backoffLimit));
}

/** Closes an own place after a refused or unanswered start. */
export function closeAfterRefusal(
  state: ControllerState,
  instanceClass: string,
  reason: 'refused' | 'unanswered',
): PlaceClosure {
  const place = placeKey(state.dataCentre, instanceClass);
  const previous = state.placeClosures.get(place);
  const isConsecutive =
    previous !== undefined && state.now < previous.until + CONSECUTIVE_REFUSAL_GAP_MILLISECONDS;
  // Starts that were asked together are refused together; they count as one refusal.
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

/** Closes a place where reclaimable instances were taken away. */
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

/** A start that succeeded ends the row of refusals. */
export function reopenPlace(state: ControllerState, instanceClass: string): void {
  const closure = state.placeClosures.get(placeKey(state.dataCentre, instanceClass));
  if (closure !== undefined && closure.reason !== 'reclaimed') {
    state.placeClosures.delete(placeKey(state.dataCentre, instanceClass));
  }
}

/** The own places that are closed, for the report to the other controllers. */
export function listOwnClosedOffers(state: ControllerState): ClosedOffer[] {
  return [...state.placeClosures.values()]
    .filter((closure) => closure.dataCentre === state.dataCentre && closure.until > state.now)
    .map(({ dataCentre, instanceClass, until }) => ({
      dataCentre,
      instanceClass,
      remaining: until - state.now,
    }));
}

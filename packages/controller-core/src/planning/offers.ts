/**
 * Lists the offers of a pool: what can be kept or bought at each place (one instance class in one
 * data centre), with the prices and closures that this controller knows.
 */
import type { InstanceClass, Pool } from '@hornbeampond/schema';
import { instancesOf, isKept } from '../fleet/FleetInstance.js';
import { placeKey, type ControllerState } from '../state.js';
import type { Offer } from './chooseMix.js';

/**
 * True if the data centre's controller is this one or has reported recently. Only that controller
 * buys there.
 */
export function isDataCentreReachable(state: ControllerState, dataCentre: string): boolean {
  if (dataCentre === state.dataCentre) return true;
  const peer = state.peers.get(dataCentre);
  return peer !== undefined && state.now - peer.lastReportAt <= state.policy.peerTimeout;
}

function isClosedByPeer(
  state: ControllerState,
  dataCentre: string,
  instanceClass: string,
): boolean {
  const peer = state.peers.get(dataCentre);
  return (
    peer?.closedOffers.some(
      (offer) =>
        offer.dataCentre === dataCentre &&
        offer.instanceClass === instanceClass &&
        peer.lastReportAt + offer.remaining > state.now,
    ) ?? false
  );
}

/**
 * True if nothing can be bought at the place for now: this controller or that of the data centre
 * has closed it, or the data centre is unreachable.
 */
export function isClosed(
  state: ControllerState,
  dataCentre: string,
  instanceClass: string,
): boolean {
  const closure = state.placeClosures.get(placeKey(dataCentre, instanceClass));
  if (closure !== undefined && closure.until > state.now) return true;
  return (
    !isDataCentreReachable(state, dataCentre) || isClosedByPeer(state, dataCentre, instanceClass)
  );
}

function countRecentWaves(
  state: ControllerState,
  dataCentre: string,
  instanceClass: string,
): number {
  const place = placeKey(dataCentre, instanceClass);
  return state.waves.filter((wave) => wave.places.has(place)).length;
}

/**
 * Counts the unanswered starts of this controller that still count as upcoming capacity; 0 for
 * other data centres.
 */
export function countPendingStarts(
  state: ControllerState,
  pool: Pool,
  dataCentre: string,
  instanceClass: string,
): number {
  if (dataCentre !== state.dataCentre) return 0;
  return [...state.pendingStarts.values()].filter(
    (pending) =>
      pending.pool === pool.name &&
      pending.instanceClass === instanceClass &&
      state.now - pending.requestedAt <= state.policy.pendingStartTimeout,
  ).length;
}

function makeOffer(
  state: ControllerState,
  pool: Pool,
  dataCentre: string,
  instanceClass: InstanceClass,
): Offer {
  const { name, reclaimable, concurrency } = instanceClass;
  const eurosPerHour = state.prices.get(placeKey(dataCentre, name)) ?? instanceClass.eurosPerHour;
  const waves = reclaimable ? countRecentWaves(state, dataCentre, name) : 0;
  const keptCount = instancesOf(state, pool).filter(
    (instance) =>
      instance.dataCentre === dataCentre && instance.instanceClass === name && isKept(instance),
  ).length;
  return {
    dataCentre,
    instanceClass: name,
    reclaimable,
    slotsPerInstance: concurrency,
    eurosPerHour,
    riskAdjustedEurosPerHour: eurosPerHour * (1 + waves * state.policy.wavePricePenalty),
    presentCount: keptCount + countPendingStarts(state, pool, dataCentre, name),
    closed: isClosed(state, dataCentre, name),
  };
}

/** Returns one offer for each place of the pool, in the same order in all controllers. */
export function listOffers(state: ControllerState, pool: Pool): Offer[] {
  return [...pool.dataCentres]
    .sort()
    .flatMap((dataCentre) =>
      pool.instanceClasses.map((instanceClass) =>
        makeOffer(state, pool, dataCentre, instanceClass),
      ),
    );
}

/**
 * Buys the instances that the plan wants in the controller's data centre beyond those kept or
 * pending. Resends unanswered starts, and closes places where starts stay unanswered.
 *
 * A start is a request to buy one instance. Its token identifies the purchase: it contains the
 * lease's epoch, so no two holders use the same one. An unanswered start is resent under its token,
 * because the platform might have sold the instance and a new token would buy a second one.
 */
import type { Pool } from '@hornbeampond/schema';
import type { ControllerEffect, StartInstanceEffect } from '../effects.js';
import { instancesOf, isKept } from '../fleet/FleetInstance.js';
import { countPendingStarts, isClosed } from '../planning/offers.js';
import type { PlannedPlace, PoolPlan } from '../planning/PoolPlan.js';
import type { ControllerState, HeldLease, PendingStart } from '../state.js';
import { closeAfterFailedStart } from './placeClosures.js';

/**
 * A start is dropped after this long without an answer. If the start did buy an instance, the
 * platform's list shows that instance.
 */
const MAX_PENDING_START_AGE_MILLISECONDS = 10 * 60_000;

function makeStartEffect(state: ControllerState, pending: PendingStart): StartInstanceEffect {
  const { pool, instanceClass, startToken } = pending;
  return {
    type: 'startInstance',
    pool,
    dataCentre: state.dataCentre,
    instanceClass,
    startToken,
  };
}

/** Records a pending start under a new token and returns the effects that request it. */
function requestStart(
  state: ControllerState,
  lease: HeldLease,
  plan: PoolPlan,
  place: PlannedPlace,
): ControllerEffect[] {
  state.startSequence += 1;
  const pending: PendingStart = {
    startToken: `${state.dataCentre}-${lease.epoch}-${state.startSequence}`,
    pool: plan.pool,
    instanceClass: place.instanceClass,
    requestedAt: state.now,
    resendAt: state.now + state.policy.startAnswerTimeout,
    resends: 0,
  };
  state.pendingStarts.set(pending.startToken, pending);
  return [
    makeStartEffect(state, pending),
    {
      type: 'log',
      event: 'startAsked',
      fields: {
        startToken: pending.startToken,
        pool: plan.pool,
        dataCentre: state.dataCentre,
        instanceClass: place.instanceClass,
        reclaimable: place.reclaimable,
        eurosPerHour: place.eurosPerHour,
        wanted: place.wanted,
        slotsNeeded: plan.need.normal,
        slotsNeededAfterLoss: plan.need.afterLoss,
      },
    },
    { type: 'count', metric: 'startsAsked' },
  ];
}

function countKeptAndPending(state: ControllerState, pool: Pool, place: PlannedPlace): number {
  const kept = instancesOf(state, pool).filter(
    (instance) =>
      instance.dataCentre === state.dataCentre &&
      instance.instanceClass === place.instanceClass &&
      isKept(instance),
  );
  return kept.length + countPendingStarts(state, pool, state.dataCentre, place.instanceClass);
}

function buyForPool(state: ControllerState, lease: HeldLease, pool: Pool): ControllerEffect[] {
  const plan = state.plans.get(pool.name);
  if (plan === undefined) return [];
  return plan.places
    .filter((place) => place.dataCentre === state.dataCentre)
    .filter((place) => !isClosed(state, place.dataCentre, place.instanceClass))
    .flatMap((place) => {
      const missingCount = Math.max(0, place.wanted - countKeptAndPending(state, pool, place));
      return Array.from({ length: missingCount }, () =>
        requestStart(state, lease, plan, place),
      ).flat();
    });
}

/** Resends unanswered starts with exponential backoff, and drops those that are too old. */
function resendStarts(state: ControllerState): ControllerEffect[] {
  return [...state.pendingStarts.values()].flatMap((pending): ControllerEffect[] => {
    if (state.now - pending.requestedAt > MAX_PENDING_START_AGE_MILLISECONDS) {
      state.pendingStarts.delete(pending.startToken);
      const { startToken, pool, instanceClass, resends } = pending;
      const fields = { startToken, pool, instanceClass, resends };
      return [{ type: 'log', event: 'startGivenUp', fields }];
    }
    if (state.now < pending.resendAt) return [];
    pending.resends += 1;
    pending.resendAt =
      state.now + state.policy.startAnswerTimeout * 2 ** Math.min(pending.resends, 3);
    return [
      makeStartEffect(state, pending),
      { type: 'count', metric: 'fleetRetries', label: 'startAnswerLost' },
    ];
  });
}

/** Closes the places of long unanswered starts, so that the next plan uses other places. */
function closePlacesOfUnansweredStarts(state: ControllerState): ControllerEffect[] {
  return [...state.pendingStarts.values()]
    .filter(
      (pending) =>
        state.now - pending.requestedAt > state.policy.pendingStartTimeout &&
        !isClosed(state, state.dataCentre, pending.instanceClass),
    )
    .map((pending) => {
      const closure = closeAfterFailedStart(state, pending.instanceClass, 'unanswered');
      return {
        type: 'log',
        event: 'startUnanswered',
        fields: {
          startToken: pending.startToken,
          pool: pending.pool,
          instanceClass: pending.instanceClass,
          resends: pending.resends,
          closedMilliseconds: closure.until - state.now,
        },
      };
    });
}

/**
 * Handles unanswered starts and buys missing instances. Nothing is bought right after a takeover,
 * because the platform's list might not show the predecessor's purchases yet.
 */
export function buyInstances(state: ControllerState, lease: HeldLease): ControllerEffect[] {
  const effects = [...closePlacesOfUnansweredStarts(state), ...resendStarts(state)];
  if (state.now - lease.since < state.policy.takeoverPurchaseDelay) return effects;
  return [
    ...effects,
    ...state.configuration.pools.rows.flatMap((pool) => buyForPool(state, lease, pool)),
  ];
}

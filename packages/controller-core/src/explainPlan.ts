/**
 * Explains the current plans for `hornbeampondctl plan`: the action at each place, its reason, and
 * the figures it was planned from. A place is one instance class in one data centre.
 */
import type { Euros, Milliseconds } from '@hornbeampond/schema';
import { instancesOf, isKept, isServing, poolOf } from './fleet/FleetInstance.js';
import { countPendingStarts, isClosed } from './planning/offers.js';
import type { PlannedPlace, PoolPlan } from './planning/PoolPlan.js';
import { placeKey, type ControllerState } from './state.js';

export type PlanAction = 'keep' | 'buy' | 'drain' | 'wait';

export interface PlanRow {
  readonly pool: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly reclaimable: boolean;
  readonly eurosPerHour: Euros;
  readonly wanted: number;
  /** Instances that are kept, plus starts that were not answered yet. */
  readonly present: number;
  readonly serving: number;
  readonly action: PlanAction;
  readonly reason: string;
  readonly slotsNeeded: number;
  readonly slotsNeededAfterLoss: number;
  readonly missingSlots: number;
  readonly requestsPerSecond: number;
  readonly forecastPerSecond: number;
  readonly patienceMilliseconds: Milliseconds;
}

function explainPlace(
  state: ControllerState,
  place: PlannedPlace,
  present: number,
): { readonly action: PlanAction; readonly reason: string } {
  const { dataCentre, instanceClass, wanted } = place;
  const closure = state.placeClosures.get(placeKey(dataCentre, instanceClass));
  const closed = isClosed(state, dataCentre, instanceClass);
  if (wanted > present) {
    if (closed) return { action: 'wait', reason: 'nothing is sold here for now' };
    return { action: 'buy', reason: 'the cheapest safe place for what is lacking' };
  }
  if (wanted < present) {
    return { action: 'drain', reason: 'not needed, or cheaper elsewhere; drained once safe' };
  }
  if (closed && closure !== undefined) {
    const seconds = Math.max(0, Math.ceil((closure.until - state.now) / 1000));
    return { action: 'keep', reason: `closed for ${seconds} s: ${closure.reason}` };
  }
  return { action: 'keep', reason: 'as planned' };
}

function toRow(state: ControllerState, plan: PoolPlan, place: PlannedPlace): PlanRow {
  const pool = poolOf(state, plan.pool);
  const instances = (pool === undefined ? [] : instancesOf(state, pool)).filter(
    (instance) =>
      instance.dataCentre === place.dataCentre && instance.instanceClass === place.instanceClass,
  );
  const pending =
    pool === undefined ? 0 : countPendingStarts(state, pool, place.dataCentre, place.instanceClass);
  const present = instances.filter(isKept).length + pending;
  return {
    pool: plan.pool,
    dataCentre: place.dataCentre,
    instanceClass: place.instanceClass,
    reclaimable: place.reclaimable,
    eurosPerHour: place.eurosPerHour,
    wanted: place.wanted,
    present,
    serving: instances.filter((instance) => pool !== undefined && isServing(pool, instance)).length,
    ...explainPlace(state, place, present),
    slotsNeeded: plan.need.normal,
    slotsNeededAfterLoss: plan.need.afterLoss,
    missingSlots: plan.missingSlots,
    requestsPerSecond: plan.currentEstimate.requestsPerSecond,
    forecastPerSecond: plan.currentEstimate.forecastPerSecond,
    patienceMilliseconds: plan.currentEstimate.shortestAllowedWait,
  };
}

/** Returns one row for each place of each pool, from the latest plan. */
export function explainPlan(state: ControllerState): PlanRow[] {
  return [...state.plans.values()].flatMap((plan) =>
    plan.places.map((place) => toRow(state, plan, place)),
  );
}

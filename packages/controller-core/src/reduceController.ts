/**
 * The controller's main reducer. It applies an event to each part of the state in turn, then plans
 * the fleet again if the event calls for it and returns the effects that bring the fleet closer to
 * the plan. Without the lease it returns no effect that changes the fleet.
 */
import type { Reducer } from '@hornbeampond/schema';
import { buyInstances } from './buying/buyInstances.js';
import { reduceBuying } from './buying/reduceBuying.js';
import { reduceDemand } from './demand/reduceDemand.js';
import { isFleetEffect, type ControllerEffect } from './effects.js';
import type { ControllerEvent, ControllerEventType } from './events.js';
import { reduceFleet } from './fleet/reduceFleet.js';
import { reconcileModels } from './orders/reconcileModels.js';
import { reduceOrders } from './orders/reduceOrders.js';
import { planPools } from './planning/planPools.js';
import { scaleIn } from './planning/scaleIn.js';
import { reduceReclaims } from './reclaims/reduceReclaims.js';
import { reduceLeaseOwnership } from './reduceLeaseOwnership.js';
import type { ControllerState, HeldLease } from './state.js';

const reducers: readonly Reducer<ControllerState, ControllerEvent, ControllerEffect>[] = [
  reduceLeaseOwnership,
  reduceFleet,
  reduceReclaims,
  reduceDemand,
  reduceBuying,
  reduceOrders,
];

/** Ticks, and events after which capacity could be missing if planning waited for the next tick. */
const replanningEvents: ReadonlySet<ControllerEventType> = new Set([
  'tick',
  'configurationApplied',
  'reclaimNoticed',
  'instanceLost',
  'startAnswered',
  'orderAnswered',
]);

function planAndAct(state: ControllerState, lease: HeldLease): ControllerEffect[] {
  return [
    ...planPools(state),
    ...buyInstances(state, lease),
    ...reconcileModels(state, lease),
    ...scaleIn(state),
  ];
}

/** Handles one event for the fleet of this controller's data centre; changes `state` in place. */
export const reduceController: Reducer<ControllerState, ControllerEvent, ControllerEffect> = (
  state,
  event,
) => {
  state.now = event.now;
  state.wallNow = event.wallNow;
  if (event.type === 'configurationApplied') {
    const isCurrent = event.configuration.revision >= state.configuration.revision;
    if (isCurrent) state.configuration = event.configuration;
  }
  const effects = reducers.flatMap((reduce) => reduce(state, event));
  const { lease } = state;
  if (lease !== undefined && !state.newerEpochSeen) {
    return replanningEvents.has(event.type) ? [...effects, ...planAndAct(state, lease)] : effects;
  }
  // Without the lease another controller may be active: two would buy twice and undo each other's
  // changes. The plan is still kept up to date for operators to read.
  if (event.type === 'tick') planPools(state);
  return effects.filter((effect) => !isFleetEffect(effect));
};

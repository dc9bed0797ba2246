/** Whether a pool's deadlines still hold without certain instances. */
import type { Pool } from '@hornbeampond/schema';
import { classOf, instancesOf, isServing, type FleetInstance } from '../fleet/FleetInstance.js';
import type { ControllerState } from '../state.js';

/** Slots of the instances that take requests now. */
export function servingSlots(
  state: ControllerState,
  pool: Pool,
  without?: FleetInstance,
): { readonly total: number; readonly largestLoss: number } {
  const reclaimable = new Map<string, number>();
  let total = 0;
  instancesOf(state, pool)
    .filter((instance) => instance !== without && isServing(pool, instance))
    .forEach((instance) => {
      const instanceClass = classOf(pool, instance);
      const slots = instanceClass?.concurrency ?? 0;
      total += slots;
      if (instanceClass?.reclaimable !== true) return;
      const { dataCentre } = instance;
      reclaimable.set(dataCentre, (reclaimable.get(dataCentre) ?? 0) + slots);
    });
  return { total, largestLoss: Math.max(0, ...reclaimable.values()) };
}

/**
 * True if what would still serve meets what was planned for, the planned loss included.
 *
 * A remembered wave counts through the plan, which holds more instances for it; here the loss of
 * one data centre is enough, else a pool without on-demand instances could never scale in.
 */
export function canDoWithout(state: ControllerState, pool: Pool, instance: FleetInstance): boolean {
  const plan = state.plans.get(pool.name);
  if (plan === undefined) return false;
  const { total, largestLoss } = servingSlots(state, pool, instance);
  return total >= plan.need.normal && total - largestLoss >= plan.need.afterLoss;
}

/** What serves now, and whether a pool's deadlines still hold without certain instances. */
import type { Pool } from '@hornbeampond/schema';
import type { ServingReport } from '../events.js';
import {
  instanceClassOf,
  instancesOf,
  isServing,
  type FleetInstance,
} from '../fleet/FleetInstance.js';
import type { ControllerState } from '../state.js';
import { isDataCentreReachable } from './offers.js';

/** What serves in the own data centre, but for one instance. */
function computeOwnServing(
  state: ControllerState,
  pool: Pool,
  excluded?: FleetInstance,
): ServingReport {
  const classes = instancesOf(state, pool)
    .filter(({ dataCentre }) => dataCentre === state.dataCentre)
    .filter((instance) => instance !== excluded && isServing(pool, instance))
    .map((instance) => instanceClassOf(pool, instance));
  const slots = classes.reduce((sum, instanceClass) => sum + (instanceClass?.concurrency ?? 0), 0);
  const onDemandSlots = classes
    .filter((instanceClass) => instanceClass?.reclaimable !== true)
    .reduce((sum, instanceClass) => sum + (instanceClass?.concurrency ?? 0), 0);
  const instances = classes.length;
  return { pool: pool.name, instances, slots, reclaimableSlots: slots - onDemandSlots };
}

/** What serves in the own data centre, for the report to the other controllers. */
export function buildOwnServingReports(state: ControllerState): ServingReport[] {
  return state.configuration.pools.rows.map((pool) => computeOwnServing(state, pool));
}

/** What serves in all data centres together. */
export interface ServingCapacity {
  readonly instances: number;
  readonly totalSlots: number;
  readonly maxLostSlots: number;
}

/**
 * Slots that serve in all data centres, and the most that the loss of one data centre's
 * reclaimable instances would take. A data centre that is not heard counts for nothing: taking
 * capacity out here must not depend on what may be cut off.
 */
export function computeServingCapacity(
  state: ControllerState,
  pool: Pool,
  excluded?: FleetInstance,
): ServingCapacity {
  const peerReports = pool.dataCentres
    .filter(
      (dataCentre) => dataCentre !== state.dataCentre && isDataCentreReachable(state, dataCentre),
    )
    .flatMap((dataCentre) => state.peers.get(dataCentre)?.serving ?? [])
    .filter((serving) => serving.pool === pool.name);
  const reports = [computeOwnServing(state, pool, excluded), ...peerReports];
  return {
    instances: reports.reduce((sum, { instances }) => sum + instances, 0),
    totalSlots: reports.reduce((sum, { slots }) => sum + slots, 0),
    maxLostSlots: Math.max(...reports.map(({ reclaimableSlots }) => reclaimableSlots)),
  };
}

/**
 * True if what would still serve meets what was planned for, the planned loss included.
 *
 * A remembered wave counts through the plan, which holds more instances for it; here the loss of
 * one data centre is enough, else a pool without on-demand instances could never scale in.
 */
export function meetsNeedWithout(
  state: ControllerState,
  pool: Pool,
  instance: FleetInstance,
): boolean {
  const plan = state.plans.get(pool.name);
  if (plan === undefined) return false;
  const { totalSlots, maxLostSlots } = computeServingCapacity(state, pool, instance);
  return totalSlots >= plan.need.normal && totalSlots - maxLostSlots >= plan.need.afterLoss;
}

/** True if the pool keeps its least size of serving instances, and its deadlines, without it. */
export function canDrainInstance(
  state: ControllerState,
  pool: Pool,
  instance: FleetInstance,
): boolean {
  const { instances } = computeServingCapacity(state, pool, instance);
  return instances >= pool.least && meetsNeedWithout(state, pool, instance);
}

/**
 * Computes the capacity that serves now, and whether it would still cover the planned need of a
 * pool without a given instance.
 */
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

/**
 * Returns the capacity that serves in the controller's own data centre, without the excluded
 * instance.
 */
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

/**
 * Returns the capacity in the own data centre, by pool, for the report to the other controllers.
 */
export function buildOwnServingReports(state: ControllerState): ServingReport[] {
  return state.configuration.pools.rows.map((pool) => computeOwnServing(state, pool));
}

/** Capacity of one pool that serves in all reachable data centres. */
export interface ServingCapacity {
  readonly instances: number;
  readonly totalSlots: number;
  /** Largest number of reclaimable slots in one data centre. */
  readonly maxLostSlots: number;
}

/**
 * Adds up the serving capacity of all data centres. An unreachable one counts as 0, so that no
 * capacity is removed here in reliance on capacity that may be partitioned.
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
 * True if the pool without the instance covers its normal need and, after the loss of any one data
 * centre's reclaimable instances, its need after a loss. Only the plan accounts for larger waves. A
 * recent wave that took all reclaimable slots would leave nothing here, so a pool without on-demand
 * instances could not scale in.
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

/**
 * True if the pool without the instance has its minimum number of serving instances and covers its
 * need, also after the planned loss.
 */
export function canDrainInstance(
  state: ControllerState,
  pool: Pool,
  instance: FleetInstance,
): boolean {
  const { instances } = computeServingCapacity(state, pool, instance);
  return instances >= pool.least && meetsNeedWithout(state, pool, instance);
}

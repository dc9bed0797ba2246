/** One instance in the controller's view of the fleet, and queries on its state. */
import type {
  EpochMilliseconds,
  InstanceClass,
  LoadReport,
  MonotonicMilliseconds,
  Order,
  Pool,
} from '@hornbeampond/schema';
import type { ControllerState } from '../state.js';

/**
 * `reloading`: drained so that its model can be changed. `draining`: will be ended once idle.
 * `leaving`: the platform is reclaiming it. Phases only move forward, except that `reloading`
 * returns to `live`.
 */
export type InstancePhase = 'starting' | 'live' | 'reloading' | 'draining' | 'leaving';

/** What a model engine has loaded. */
export interface LoadedModel {
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
}

/** An order that the model engine has not answered yet. */
export interface PendingOrder {
  readonly order: Order;
  readonly sentAt: MonotonicMilliseconds;
  readonly sentAtWall: EpochMilliseconds;
}

export interface FleetInstance {
  readonly instance: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly pool: string;
  readonly firstSeenAt: MonotonicMilliseconds;
  phase: InstancePhase;
  /** When `enterPhase` last changed the phase, or a new lease was gained during a drain. */
  phaseSince: MonotonicMilliseconds;
  /** The same time by the wall clock, to compare with times in load reports. */
  phaseSinceWall: EpochMilliseconds;
  lastListedAt: MonotonicMilliseconds;
  /** When the platform will take it away; set once a reclaim notice has arrived. */
  goneAt?: EpochMilliseconds;
  loadReport?: LoadReport;
  loadReportReceivedAt?: MonotonicMilliseconds;
  /** From the latest load report or completed order; empty until one of them names a model. */
  loaded: LoadedModel;
  /** The order whose answer is pending; there is at most one. */
  pendingOrder?: PendingOrder;
  /** No load is ordered and no reload starts before this time. */
  orderRetryAt: MonotonicMilliseconds;
  /** When the platform was last asked to end the instance. */
  endRequestedAt?: MonotonicMilliseconds;
  /** True once its start duration was recorded, or if its start was not observed. */
  startMeasured: boolean;
}

/** Moves an instance to another phase, and records the time if the phase changes. */
export function enterPhase(
  state: ControllerState,
  instance: FleetInstance,
  phase: InstancePhase,
): void {
  if (instance.phase === phase) return;
  instance.phase = phase;
  instance.phaseSince = state.now;
  instance.phaseSinceWall = state.wallNow;
}

/** True if it has the pool's model in any version; a plain service needs none. */
export function hasModel(pool: Pool, instance: FleetInstance): boolean {
  return pool.kind === 'plainService' || instance.loaded.model === pool.model;
}

/** True if its model, adapter and version are those of the pools table. */
export function isUpToDate(pool: Pool, { loaded }: FleetInstance): boolean {
  if (pool.kind === 'plainService') return true;
  return (
    loaded.model === pool.model &&
    loaded.adapter === pool.adapter &&
    (pool.version === undefined || loaded.version === pool.version)
  );
}

/** True if entries may send it the pool's requests now. */
export function isServing(pool: Pool, instance: FleetInstance): boolean {
  return instance.phase === 'live' && hasModel(pool, instance);
}

/** True unless it is draining or leaving. Includes instances that do not serve yet. */
export function isKept(instance: FleetInstance): boolean {
  return instance.phase !== 'draining' && instance.phase !== 'leaving';
}

/**
 * For a draining or reloading instance: true if a load report measured after entries stopped
 * sending shows no call. The report carries the instance's own clock, which can be ahead: the bound
 * on clock skew is added, so that no report measured before that time counts.
 */
export function isIdle(state: ControllerState, instance: FleetInstance): boolean {
  const { loadReport } = instance;
  if (loadReport === undefined) return false;
  const { drainPropagationTime, maxClockSkew } = state.policy;
  const trafficStoppedAt = instance.phaseSinceWall + drainPropagationTime + maxClockSkew;
  return loadReport.measuredAt > trafficStoppedAt && loadReport.running + loadReport.queued === 0;
}

export function instanceClassOf(pool: Pool, instance: FleetInstance): InstanceClass | undefined {
  return pool.instanceClasses.find(({ name }) => name === instance.instanceClass);
}

export function poolOf(state: ControllerState, name: string): Pool | undefined {
  return state.configuration.pools.rows.find((pool) => pool.name === name);
}

export function instancesOf(state: ControllerState, pool: Pool): FleetInstance[] {
  return [...state.fleet.values()].filter((instance) => instance.pool === pool.name);
}

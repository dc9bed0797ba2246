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

/** An order that the engine has not answered yet. */
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
  phaseSince: MonotonicMilliseconds;
  phaseSinceWall: EpochMilliseconds;
  lastListedAt: MonotonicMilliseconds;
  goneAt?: EpochMilliseconds;
  loadReport?: LoadReport;
  loadReportReceivedAt?: MonotonicMilliseconds;
  loaded: LoadedModel;
  /** At most one order is sent at a time. */
  pendingOrder?: PendingOrder;
  orderRetryAt: MonotonicMilliseconds;
  endSentAt?: MonotonicMilliseconds;
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

/** True unless it is being drained for its end or reclaimed; it may not serve yet. */
export function isKept(instance: FleetInstance): boolean {
  return instance.phase !== 'draining' && instance.phase !== 'leaving';
}

/**
 * True if a load report measured after entries stopped sending shows no call. The report carries
 * the instance's own clock, which may be ahead: the bound on clock skew is added, so that no report
 * from before that time counts.
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

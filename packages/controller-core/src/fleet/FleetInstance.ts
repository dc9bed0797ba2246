/** One instance as a controller knows it, and what can be said of it. */
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
 * `reloading`: drained of streams so that an order can change what it has loaded. `draining`: will
 * be ended once idle. `leaving`: the platform takes it away. Phases only go forward, but for
 * `reloading`, which goes back to `live`.
 */
export type InstancePhase = 'starting' | 'live' | 'reloading' | 'draining' | 'leaving';

/** What a model engine has loaded. */
export interface LoadedModel {
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
}

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
  /** The one order whose answer is open. */
  pendingOrder?: PendingOrder;
  orderRetryAt: MonotonicMilliseconds;
  endSentAt?: MonotonicMilliseconds;
  /** True once it has served: its time to start has been measured. */
  startMeasured: boolean;
}

/** Moves an instance to another phase. */
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

/** True if requests of the pool can be answered there, with whatever version. */
export function hasModel(pool: Pool, instance: FleetInstance): boolean {
  return pool.kind === 'plainService' || instance.loaded.model === pool.model;
}

/** True if it has loaded just what the pools table says. */
export function isUpToDate(pool: Pool, { loaded }: FleetInstance): boolean {
  if (pool.kind === 'plainService') return true;
  return (
    loaded.model === pool.model &&
    loaded.adapter === pool.adapter &&
    (pool.version === undefined || loaded.version === pool.version)
  );
}

/** True if it takes requests now. */
export function isServing(pool: Pool, instance: FleetInstance): boolean {
  return instance.phase === 'live' && hasModel(pool, instance);
}

/** True if it serves now or will without being bought. */
export function isKept(instance: FleetInstance): boolean {
  return instance.phase !== 'draining' && instance.phase !== 'leaving';
}

/**
 * True if its own report, made after the entries have stopped sending, shows no call. The report
 * carries the clock of its own instance: one that is ahead would date a report from before the
 * drain after it, so the bound on how far clocks differ is added.
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

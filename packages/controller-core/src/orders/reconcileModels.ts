/**
 * Loads the models of the pools table into model engines: empty engines directly, serving engines
 * by a rolling reload that drains each one first.
 *
 * A stream never sees two versions: an engine reloads only after entries have stopped sending to
 * it and it reports no call. Deadlines hold during a rollout: an engine that serves is drained
 * only in its data centre's turn, and only if the rest meet the planned need.
 */
import type { Pool } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import {
  enterPhase,
  hasModel,
  instancesOf,
  isIdle,
  isUpToDate,
  poolOf,
  type FleetInstance,
} from '../fleet/FleetInstance.js';
import { meetsNeedWithout, computeServingCapacity } from '../planning/servingCapacity.js';
import { isOwnTurn } from '../planning/isOwnTurn.js';
import type { ControllerState, HeldLease } from '../state.js';
import { makeLoadAction, canStartLoad, sendOrder } from './sendOrder.js';

/** A reload that takes longer is abandoned: the engine might never report that it is idle. */
const MAX_RELOAD_DURATION_MILLISECONDS = 15 * 60_000;

/**
 * Engines that do not check fencing also carry out late orders of the previous holder, so they get
 * no orders until those can no longer take effect.
 */
function canSendOrders(state: ControllerState, lease: HeldLease, pool: Pool): boolean {
  return pool.checksFencing || state.now >= lease.unfencedFrom;
}

/** An engine that can be loaded now. */
interface LoadCandidate {
  readonly instance: FleetInstance;
  readonly pool: Pool;
  /** Serving slots of the pool as a fraction of its need; the lowest is loaded first. */
  readonly coveredFraction: number;
}

/** Finds outdated engines in the own data centre with no call, pending order or retry delay. */
function findLoadCandidates(state: ControllerState, lease: HeldLease): LoadCandidate[] {
  return state.configuration.pools.rows
    .filter((pool) => pool.kind === 'modelEngine' && canSendOrders(state, lease, pool))
    .flatMap((pool) => {
      const needed = Math.max(1, state.plans.get(pool.name)?.need.normal ?? 1);
      const coveredFraction = computeServingCapacity(state, pool).totalSlots / needed;
      return instancesOf(state, pool)
        .filter((instance) => instance.dataCentre === state.dataCentre)
        .filter(
          (instance) => instance.pendingOrder === undefined && state.now >= instance.orderRetryAt,
        )
        .filter((instance) => !isUpToDate(pool, instance))
        .filter((instance) => canLoadWithoutInterruption(state, pool, instance))
        .map((instance) => ({ instance, pool, coveredFraction }));
    });
}

function canLoadWithoutInterruption(
  state: ControllerState,
  pool: Pool,
  instance: FleetInstance,
): boolean {
  if (instance.phase === 'reloading') return isIdle(state, instance);
  // A new holder sees an engine in the list before its first load report. A load could then change
  // the version under running streams, so the engine must have reported that it is empty.
  const { loadReport } = instance;
  if (instance.phase !== 'live' || loadReport === undefined) return false;
  return instance.loaded.model === undefined && loadReport.running + loadReport.queued === 0;
}

/** Sorts by the pool's coverage, then engines that have the model, then the oldest. */
function compareUrgency(a: LoadCandidate, b: LoadCandidate): number {
  return (
    a.coveredFraction - b.coveredFraction ||
    Number(hasModel(b.pool, b.instance)) - Number(hasModel(a.pool, a.instance)) ||
    a.instance.firstSeenAt - b.instance.firstSeenAt ||
    a.instance.instance.localeCompare(b.instance.instance)
  );
}

function loadInOrderOfUrgency(state: ControllerState, lease: HeldLease): ControllerEffect[] {
  const effects: ControllerEffect[] = [];
  for (const { instance, pool } of findLoadCandidates(state, lease).sort(compareUrgency)) {
    const action = makeLoadAction(pool);
    if (action === undefined) continue;
    if (!canStartLoad(state)) break;
    effects.push(...sendOrder(state, lease, instance, action));
  }
  return effects;
}

/** In the data centre's turn, drains one engine to reload if none of the pool is reloading here. */
function startNextReload(state: ControllerState, lease: HeldLease, pool: Pool): ControllerEffect[] {
  if (pool.kind !== 'modelEngine' || !canSendOrders(state, lease, pool)) return [];
  const ownInstances = instancesOf(state, pool).filter(
    ({ dataCentre }) => dataCentre === state.dataCentre,
  );
  if (ownInstances.some(({ phase }) => phase === 'reloading') || !isOwnTurn(state, pool)) return [];
  const candidate = ownInstances.find(
    (instance) =>
      instance.phase === 'live' &&
      instance.loaded.model !== undefined &&
      !isUpToDate(pool, instance) &&
      state.now >= instance.orderRetryAt &&
      (!hasModel(pool, instance) || meetsNeedWithout(state, pool, instance)),
  );
  if (candidate === undefined) return [];
  enterPhase(state, candidate, 'reloading');
  const { totalSlots: slotsServing, maxLostSlots: largestLoss } = computeServingCapacity(
    state,
    pool,
  );
  const fields = {
    instance: candidate.instance,
    pool: pool.name,
    loaded: candidate.loaded,
    version: pool.version,
    slotsServing,
    largestLoss,
    slotsNeeded: state.plans.get(pool.name)?.need.normal,
  };
  return [
    { type: 'drainInstance', instance: candidate.instance, reason: 'reload' },
    { type: 'log', event: 'reloadStarted', fields },
  ];
}

/** Restores reloading engines that are up to date now, or whose reload took too long. */
function finishReloads(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(({ dataCentre, phase }) => dataCentre === state.dataCentre && phase === 'reloading')
    .flatMap((instance): ControllerEffect[] => {
      const pool = poolOf(state, instance.pool);
      if (pool === undefined || instance.pendingOrder !== undefined) return [];
      const hasTimedOut = state.now - instance.phaseSince > MAX_RELOAD_DURATION_MILLISECONDS;
      if (!isUpToDate(pool, instance) && !hasTimedOut) return [];
      enterPhase(state, instance, 'live');
      const { instance: name, loaded } = instance;
      return [
        { type: 'restoreInstance', instance: name },
        {
          type: 'log',
          event: 'reloadFinished',
          fields: { instance: name, loaded, tooLong: hasTimedOut },
        },
      ];
    });
}

/** Finishes reloads, sends the loads that are due, and starts the next reload of each pool. */
export function reconcileModels(state: ControllerState, lease: HeldLease): ControllerEffect[] {
  return [
    ...finishReloads(state),
    ...loadInOrderOfUrgency(state, lease),
    ...state.configuration.pools.rows.flatMap((pool) => startNextReload(state, lease, pool)),
  ];
}

/**
 * Brings model engines to what the pools table says: fresh ones at once, serving ones by a rollout
 * that drains each before it reloads.
 *
 * A stream never sees two versions, because an engine is reloaded only after the entries have
 * stopped sending to it and it reports no call. The deadline holds during a rollout, because an
 * engine is taken out only while the others meet the planned need, one data centre at a time.
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
import { canDoWithout, servingSlots } from '../planning/standing.js';
import { isOwnTurn } from '../planning/turns.js';
import type { ControllerState, HeldLease } from '../state.js';
import { makeLoadAction, canStartLoad, sendOrder } from './sendOrder.js';

/** Bounds how long a reload waits for an engine that never reports itself idle. */
const MAX_RELOAD_DURATION_MILLISECONDS = 15 * 60_000;

/**
 * An engine that ignores fencing numbers would also carry out the last holder's late orders, so
 * nothing is sent to it until the last of those must have arrived.
 */
function canSendOrders(state: ControllerState, lease: HeldLease, pool: Pool): boolean {
  return pool.checksFencing || state.now >= lease.unfencedFrom;
}

interface LoadCandidate {
  readonly instance: FleetInstance;
  readonly pool: Pool;
  /** Share of the need that the pool's serving instances cover; the lowest is loaded first. */
  readonly coveredFraction: number;
}

/** Engines that can be loaded now: they run no stream and have no order open. */
function findLoadCandidates(state: ControllerState, lease: HeldLease): LoadCandidate[] {
  return state.configuration.pools.rows
    .filter((pool) => pool.kind === 'modelEngine' && canSendOrders(state, lease, pool))
    .flatMap((pool) => {
      const needed = Math.max(1, state.plans.get(pool.name)?.need.normal ?? 1);
      const coveredFraction = servingSlots(state, pool).total / needed;
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
  // A new holder knows of an engine before it knows what runs there. An order sent on a guess could
  // change the version under running streams, so the engine itself must have said that it is empty.
  const { loadReport } = instance;
  if (instance.phase !== 'live' || loadReport === undefined) return false;
  return instance.loaded.model === undefined && loadReport.running + loadReport.queued === 0;
}

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

/** Takes at most one engine of a pool in this data centre out of service for a reload. */
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
      (!hasModel(pool, instance) || canDoWithout(state, pool, instance)),
  );
  if (candidate === undefined) return [];
  enterPhase(state, candidate, 'reloading');
  const { total: slotsServing, largestLoss } = servingSlots(state, pool);
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

/** Puts reloaded engines back into service, and those whose reload is no longer wanted. */
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

/** Gives the orders that are due. */
export function reconcileModels(state: ControllerState, lease: HeldLease): ControllerEffect[] {
  return [
    ...finishReloads(state),
    ...loadInOrderOfUrgency(state, lease),
    ...state.configuration.pools.rows.flatMap((pool) => startNextReload(state, lease, pool)),
  ];
}

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
const SILENT_RELOAD_LIMIT = 15 * 60_000;

/**
 * An engine that ignores fencing numbers would also carry out the last holder's late orders, so
 * nothing is sent to it until the last of those must have arrived.
 */
function mayOrder(state: ControllerState, lease: HeldLease, pool: Pool): boolean {
  return pool.checksFencing || state.now >= lease.unfencedFrom;
}

interface Waiting {
  readonly instance: FleetInstance;
  readonly pool: Pool;
  /** Share of the need that the pool's serving instances cover; the lowest is loaded first. */
  readonly covered: number;
}

/** Engines that can be loaded now: they run no stream and have no order open. */
function findLoadable(state: ControllerState, lease: HeldLease): Waiting[] {
  return state.configuration.pools.rows
    .filter((pool) => pool.kind === 'modelEngine' && mayOrder(state, lease, pool))
    .flatMap((pool) => {
      const needed = Math.max(1, state.plans.get(pool.name)?.need.normal ?? 1);
      const covered = servingSlots(state, pool).total / needed;
      return instancesOf(state, pool)
        .filter((instance) => instance.dataCentre === state.dataCentre)
        .filter(
          (instance) => instance.pendingOrder === undefined && state.now >= instance.orderRetryAt,
        )
        .filter((instance) => !isUpToDate(pool, instance))
        .filter((instance) => isLoadable(state, pool, instance))
        .map((instance) => ({ instance, pool, covered }));
    });
}

function isLoadable(state: ControllerState, pool: Pool, instance: FleetInstance): boolean {
  if (instance.phase === 'reloading') return isIdle(state, instance);
  // A new holder knows of an engine before it knows what runs there. An order sent on a guess could
  // change the version under running streams, so the engine itself must have said that it is empty.
  const { loadReport: load } = instance;
  if (instance.phase !== 'live' || load === undefined) return false;
  return instance.loaded.model === undefined && load.running + load.queued === 0;
}

function compareUrgency(a: Waiting, b: Waiting): number {
  return (
    a.covered - b.covered ||
    Number(hasModel(b.pool, b.instance)) - Number(hasModel(a.pool, a.instance)) ||
    a.instance.firstSeenAt - b.instance.firstSeenAt ||
    a.instance.instance.localeCompare(b.instance.instance)
  );
}

function loadMostUrgent(state: ControllerState, lease: HeldLease): ControllerEffect[] {
  const effects: ControllerEffect[] = [];
  for (const { instance, pool } of findLoadable(state, lease).sort(compareUrgency)) {
    const action = makeLoadAction(pool);
    if (action === undefined) continue;
    if (!canStartLoad(state)) break;
    effects.push(...sendOrder(state, lease, instance, action));
  }
  return effects;
}

/** Takes at most one engine of a pool in this data centre out of service for a reload. */
function rollOut(state: ControllerState, lease: HeldLease, pool: Pool): ControllerEffect[] {
  if (pool.kind !== 'modelEngine' || !mayOrder(state, lease, pool)) return [];
  const all = instancesOf(state, pool).filter(({ dataCentre }) => dataCentre === state.dataCentre);
  if (all.some(({ phase }) => phase === 'reloading') || !isOwnTurn(state, pool)) return [];
  const next = all.find(
    (instance) =>
      instance.phase === 'live' &&
      instance.loaded.model !== undefined &&
      !isUpToDate(pool, instance) &&
      state.now >= instance.orderRetryAt &&
      (!hasModel(pool, instance) || canDoWithout(state, pool, instance)),
  );
  if (next === undefined) return [];
  enterPhase(state, next, 'reloading');
  const { total, largestLoss } = servingSlots(state, pool);
  const fields = {
    instance: next.instance,
    pool: pool.name,
    loaded: next.loaded,
    version: pool.version,
    slotsServing: total,
    largestLoss,
    slotsNeeded: state.plans.get(pool.name)?.need.normal,
  };
  return [
    { type: 'drainInstance', instance: next.instance, reason: 'reload' },
    { type: 'log', event: 'reloadStarted', fields },
  ];
}

/** Puts reloaded engines back into service, and those whose reload is no longer wanted. */
function restore(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(({ dataCentre, phase }) => dataCentre === state.dataCentre && phase === 'reloading')
    .flatMap((instance): ControllerEffect[] => {
      const pool = poolOf(state, instance.pool);
      if (pool === undefined || instance.pendingOrder !== undefined) return [];
      const tooLong = state.now - instance.phaseSince > SILENT_RELOAD_LIMIT;
      if (!isUpToDate(pool, instance) && !tooLong) return [];
      enterPhase(state, instance, 'live');
      const { instance: name, loaded } = instance;
      return [
        { type: 'restoreInstance', instance: name },
        { type: 'log', event: 'reloadFinished', fields: { instance: name, loaded, tooLong } },
      ];
    });
}

/** Gives the orders that are due. */
export function reconcileModels(state: ControllerState, lease: HeldLease): ControllerEffect[] {
  return [
    ...restore(state),
    ...loadMostUrgent(state, lease),
    ...state.configuration.pools.rows.flatMap((pool) => rollOut(state, lease, pool)),
  ];
}

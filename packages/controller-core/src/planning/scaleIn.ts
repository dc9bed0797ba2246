/**
 * Takes instances out that the plan no longer wants: drained first, ended only once idle. The
 * plan's need already holds the highest of the last minutes, so a short dip takes nothing out.
 */
import type { DrainReason, Pool } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import {
  instanceClassOf,
  enterPhase,
  instancesOf,
  isIdle,
  isKept,
  isServing,
  isUpToDate,
  poolOf,
  type FleetInstance,
} from '../fleet/FleetInstance.js';
import { placeKey, type ControllerState } from '../state.js';
import { canDrainInstance } from './servingCapacity.js';
import { isOwnTurn } from './isOwnTurn.js';

/** An end without an answer is resent after so long; ending what is gone already is no fault. */
const END_RESEND_DELAY_MILLISECONDS = 30_000;

/** Takes an instance out of service for good. */
export function drainInstance(
  state: ControllerState,
  instance: FleetInstance,
  reason: DrainReason,
  fields: Record<string, unknown>,
): ControllerEffect[] {
  enterPhase(state, instance, 'draining');
  const { instance: name, pool, dataCentre, instanceClass } = instance;
  return [
    { type: 'drainInstance', instance: name, reason },
    {
      type: 'log',
      event: 'instanceDrained',
      fields: { instance: name, pool, dataCentre, instanceClass, reason, ...fields },
    },
    { type: 'count', metric: 'instancesDrained', label: reason },
  ];
}

/** Those that serve nothing go first, then those with the wrong weights, then the newest. */
function compareForRemoval(pool: Pool, a: FleetInstance, b: FleetInstance): number {
  const retentionRank = (instance: FleetInstance) =>
    Number(isServing(pool, instance)) + Number(isUpToDate(pool, instance));
  return (
    retentionRank(a) - retentionRank(b) ||
    b.firstSeenAt - a.firstSeenAt ||
    a.instance.localeCompare(b.instance)
  );
}

function findSurplusInstances(state: ControllerState, pool: Pool): FleetInstance[] {
  const plan = state.plans.get(pool.name);
  if (plan === undefined) return [];
  return plan.places
    .filter((place) => place.dataCentre === state.dataCentre)
    .flatMap((place) => {
      const kept = instancesOf(state, pool).filter(
        (instance) =>
          isKept(instance) &&
          placeKey(instance.dataCentre, instance.instanceClass) ===
            placeKey(place.dataCentre, place.instanceClass),
      );
      return kept
        .sort((a, b) => compareForRemoval(pool, a, b))
        .slice(0, Math.max(0, kept.length - place.wanted));
    });
}

/** At most one instance of a pool in one turn. */
function scaleInPool(state: ControllerState, pool: Pool): ControllerEffect[] {
  if (!isOwnTurn(state, pool)) return [];
  const turnStartedAt = state.now - (state.wallNow % state.policy.turnDuration);
  const drainedThisTurn = instancesOf(state, pool).some(
    (instance) => instance.phase === 'draining' && instance.phaseSince >= turnStartedAt,
  );
  if (drainedThisTurn) return [];
  // One that only starts must stay too while the pool lacks capacity: the plan may have moved to
  // a place that refuses again, and draining here would buy and drain in turns.
  const candidate = findSurplusInstances(state, pool).find((instance) =>
    canDrainInstance(state, pool, instance),
  );
  if (candidate === undefined) return [];
  const plan = state.plans.get(pool.name);
  return drainInstance(state, candidate, 'scaleIn', {
    slotsNeeded: plan?.need.normal,
    slotsNeededAfterLoss: plan?.need.afterLoss,
  });
}

/**
 * True if nothing can still run there. A backend server that reports nothing at all any more is
 * ended only when even the longest answer, begun just before the drain, must be over.
 */
function canEndInstance(state: ControllerState, instance: FleetInstance): boolean {
  if (isIdle(state, instance)) return true;
  const lastReportAt = instance.loadReportReceivedAt ?? instance.phaseSince;
  const timeWithoutReport = state.now - Math.max(lastReportAt, instance.phaseSince);
  const maxAnswerDuration = state.configuration.routes.rows
    .filter((route) => route.pool === instance.pool)
    .flatMap((route) => [route.deadline, ...route.deadlinesByHour])
    .reduce((maxSoFar, deadline) => Math.max(maxSoFar, deadline.wholeAnswerMilliseconds), 0);
  return timeWithoutReport > maxAnswerDuration + state.policy.maxListLag;
}

/** Ends what was drained and is idle; resends an end whose answer was lost. */
export function endDrainedInstances(state: ControllerState): ControllerEffect[] {
  const endable = [...state.fleet.values()].filter(
    (instance) =>
      instance.dataCentre === state.dataCentre &&
      instance.phase === 'draining' &&
      (instance.endSentAt === undefined ||
        state.now - instance.endSentAt >= END_RESEND_DELAY_MILLISECONDS) &&
      canEndInstance(state, instance),
  );
  return endable.flatMap((instance): ControllerEffect[] => {
    const resent = instance.endSentAt !== undefined;
    instance.endSentAt = state.now;
    const { instance: name, pool } = instance;
    const retry: ControllerEffect[] = resent
      ? [{ type: 'count', metric: 'fleetRetries', label: 'endAnswerLost' }]
      : [];
    return [
      { type: 'endInstance', instance: name },
      { type: 'log', event: 'instanceEnded', fields: { instance: name, pool, resent } },
      ...retry,
    ];
  });
}

/** True if no row of the pools table allows for it. */
function isStray(state: ControllerState, instance: FleetInstance): boolean {
  const pool = poolOf(state, instance.pool);
  if (pool === undefined) return true;
  return (
    !pool.dataCentres.includes(instance.dataCentre) || instanceClassOf(pool, instance) === undefined
  );
}

/**
 * Drains instances of the own data centre that belong to no row of the pools table. Before a
 * table has come in, none is a stray: a restarted controller would end the whole fleet. Where only
 * a class or a data centre was taken out of a row, callers still depend on its instances, so each
 * stays until the pool's other instances meet the need.
 */
function drainStrayInstances(state: ControllerState): ControllerEffect[] {
  if (state.configuration.pools.revision === 0) return [];
  return [...state.fleet.values()]
    .filter((instance) => instance.dataCentre === state.dataCentre && isKept(instance))
    .filter((instance) => state.now - instance.firstSeenAt >= state.policy.strayGracePeriod)
    .filter((instance) => isStray(state, instance))
    .filter((instance) => {
      const pool = poolOf(state, instance.pool);
      return pool === undefined || canDrainInstance(state, pool, instance);
    })
    .flatMap((instance) => drainInstance(state, instance, 'stray', {}));
}

/** Drains instances that never came to serve: they would count as capacity to come for ever. */
function drainInstancesThatNeverServed(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(
      (instance) =>
        instance.dataCentre === state.dataCentre &&
        !instance.startMeasured &&
        isKept(instance) &&
        state.now - instance.firstSeenAt > state.policy.startupTimeout,
    )
    .flatMap((instance) => drainInstance(state, instance, 'neverServed', {}));
}

export function scaleIn(state: ControllerState): ControllerEffect[] {
  return [
    ...drainStrayInstances(state),
    ...drainInstancesThatNeverServed(state),
    ...state.configuration.pools.rows.flatMap((pool) => scaleInPool(state, pool)),
    ...endDrainedInstances(state),
  ];
}

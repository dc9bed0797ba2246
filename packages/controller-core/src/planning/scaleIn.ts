/**
 * Takes instances of the controller's data centre out of service: those that the plan no longer
 * wants, those that no row of the pools table covers, and those whose start never led to service.
 * An instance is drained first and ended only when no call can be running at it. The planned need
 * is the highest of the last minutes, so a short decrease drains nothing.
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

/**
 * The end of an instance is requested again after this long; ending one that no longer exists does
 * no harm.
 */
const END_RESEND_DELAY_MILLISECONDS = 30_000;

/** Starts to drain an instance, which is then ended once it is idle. */
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

/**
 * Sorts for removal: instances that neither serve nor have the wanted model first, those that do
 * both last, and newer ones first among equals.
 */
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
      const activeInstances = instancesOf(state, pool).filter(
        (instance) =>
          isKept(instance) &&
          placeKey(instance.dataCentre, instance.instanceClass) ===
            placeKey(place.dataCentre, place.instanceClass),
      );
      return activeInstances
        .sort((a, b) => compareForRemoval(pool, a, b))
        .slice(0, Math.max(0, activeInstances.length - place.wanted));
    });
}

/** Drains a surplus instance, at most one of the pool in each turn of the data centre. */
function scaleInPool(state: ControllerState, pool: Pool): ControllerEffect[] {
  if (!isOwnTurn(state, pool)) return [];
  // Turns follow the wall clock; this is the start of the turn on the monotonic clock.
  const turnStartedAt = state.now - (state.wallNow % state.policy.turnDuration);
  const drainedThisTurn = instancesOf(state, pool).some(
    (instance) => instance.phase === 'draining' && instance.phaseSince >= turnStartedAt,
  );
  if (drainedThisTurn) return [];
  // Instances that do not serve yet must pass `canDrainInstance` as well. Otherwise, while the
  // pool is short of capacity, a plan that moves to a place where starts are refused would cause
  // alternating purchases and drains.
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
 * True if no call can be running at the instance. Without load reports, this is assumed once the
 * longest whole-answer deadline, plus `maxListLag` as a margin, has passed since the last report or
 * the drain, whichever is later.
 */
function canEndInstance(state: ControllerState, instance: FleetInstance): boolean {
  if (isIdle(state, instance)) return true;
  const lastReportAt = instance.loadReportReceivedAt ?? instance.phaseSince;
  const timeWithoutReport = state.now - Math.max(lastReportAt, instance.phaseSince);
  const maxAnswerDuration = state.configuration.routes.rows
    .filter(({ pool, split = [{ pool, weight: 1 }] }) =>
      split.some((target) => target.pool === instance.pool),
    )
    .flatMap((route) => [route.deadline, ...route.deadlinesByHour])
    .reduce((maxSoFar, deadline) => Math.max(maxSoFar, deadline.wholeAnswerMilliseconds), 0);
  return timeWithoutReport > maxAnswerDuration + state.policy.maxListLag;
}

/**
 * Ends drained instances at which no call can be running, and repeats requests whose answer was
 * lost.
 */
export function endDrainedInstances(state: ControllerState): ControllerEffect[] {
  const endable = [...state.fleet.values()].filter(
    (instance) =>
      instance.dataCentre === state.dataCentre &&
      instance.phase === 'draining' &&
      (instance.endRequestedAt === undefined ||
        state.now - instance.endRequestedAt >= END_RESEND_DELAY_MILLISECONDS) &&
      canEndInstance(state, instance),
  );
  return endable.flatMap((instance): ControllerEffect[] => {
    const resent = instance.endRequestedAt !== undefined;
    instance.endRequestedAt = state.now;
    const { instance: name, pool } = instance;
    const retryMetricEffects: ControllerEffect[] = resent
      ? [{ type: 'count', metric: 'fleetRetries', label: 'endAnswerLost' }]
      : [];
    return [
      { type: 'endInstance', instance: name },
      { type: 'log', event: 'instanceEnded', fields: { instance: name, pool, resent } },
      ...retryMetricEffects,
    ];
  });
}

/** True if no row of the pools table covers the instance's pool, data centre and class. */
function isStray(state: ControllerState, instance: FleetInstance): boolean {
  const pool = poolOf(state, instance.pool);
  if (pool === undefined) return true;
  return (
    !pool.dataCentres.includes(instance.dataCentre) || instanceClassOf(pool, instance) === undefined
  );
}

/**
 * Drains instances that no row of the pools table covers. Before the first table arrives none is
 * drained: a restarted controller would otherwise drain the whole fleet. If only a class or a data
 * centre was removed from a row, an instance there is drained only if the pool without that one
 * instance covers the need. Each is checked singly, so several may be drained together.
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

/**
 * Drains instances whose start was observed but that have not served within the startup timeout;
 * they would count as upcoming capacity for ever.
 */
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

/** Adds instances to the fleet and removes them; no other module changes its set of instances. */
import type { PlatformInstance } from '@hornbeampond/schema';
import { poolOf, type FleetInstance } from './FleetInstance.js';
import type { ControllerState } from '../state.js';

/** Adds an instance as described by a row of the platform's list or its answer to a start. */
export function addInstance(state: ControllerState, row: PlatformInstance): FleetInstance {
  const servesImmediately =
    row.state === 'live' && poolOf(state, row.pool)?.kind === 'plainService';
  const instance: FleetInstance = {
    instance: row.instance,
    dataCentre: row.dataCentre,
    instanceClass: row.instanceClass,
    pool: row.pool,
    firstSeenAt: state.now,
    phase: row.state === 'leaving' ? 'draining' : row.state,
    phaseSince: state.now,
    phaseSinceWall: state.wallNow,
    lastListedAt: state.now,
    loaded: {},
    orderRetryAt: state.now,
    startMeasured: servesImmediately || row.state !== 'starting',
  };
  state.fleet.set(row.instance, instance);
  return instance;
}

/**
 * Removes an instance, and makes its rows ignored for a while: a stale list would otherwise add it
 * again as live, and it would count as capacity.
 */
export function removeInstance(state: ControllerState, name: string): void {
  state.fleet.delete(name);
  state.removedInstances.set(name, state.now + state.policy.removedInstanceRetention);
}

/** Changes to the set of known instances. */
import type { PlatformInstance } from '@hornbeampond/schema';
import { poolOf, type FleetInstance } from './FleetInstance.js';
import type { ControllerState } from '../state.js';

/** Takes a new instance into the fleet. */
export function addInstance(state: ControllerState, row: PlatformInstance): FleetInstance {
  const isServing = row.state === 'live' && poolOf(state, row.pool)?.kind === 'plainService';
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
    startMeasured: isServing || row.state !== 'starting',
  };
  state.fleet.set(row.instance, instance);
  return instance;
}

/**
 * Drops an instance for good. Its name is remembered for a while: a lagging list would otherwise
 * bring it back as live, and it would count as capacity that is not there.
 */
export function removeInstance(state: ControllerState, name: string): void {
  state.fleet.delete(name);
  state.removedInstances.set(name, state.now + state.policy.removedInstanceRetention);
}

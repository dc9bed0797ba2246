/** Adds instances to the fleet and removes them; no other module changes its set of instances. */
import type { PlatformInstance } from '@hornbeampond/schema';
import { poolOf, type FleetInstance } from './FleetInstance.js';
import type { ControllerState } from '../state.js';

/** Adds an instance described by the platform, in its list or its answer to a purchase request. */
export function addInstance(state: ControllerState, row: PlatformInstance): FleetInstance {
  const isLivePlainService =
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
    startMeasured: isLivePlainService || row.state !== 'starting',
  };
  state.fleet.set(row.instance, instance);
  return instance;
}

/**
 * Removes an instance. For a while, rows of the platform's list that name it are ignored, because a
 * stale list would otherwise add it again as live capacity.
 */
export function removeInstance(state: ControllerState, name: string): void {
  state.fleet.delete(name);
  state.removedInstances.set(name, state.now + state.policy.removedInstanceRetention);
}

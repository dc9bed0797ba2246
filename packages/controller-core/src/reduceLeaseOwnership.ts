/**
 * Applies the gain and loss of the controller's lease to the fleet. A new holder restores the live
 * instances of its data centre and repeats the drains, because it cannot know what its predecessor
 * left drained. When the lease is lost, pending starts and orders are dropped.
 */
import type { ControllerEffect } from './effects.js';
import type { ControllerEvent } from './events.js';
import type { ControllerState } from './state.js';

/**
 * If the previous holder crashed while an engine was drained for a reload, entries would otherwise
 * never use that engine again. Restoring an instance that was not drained changes nothing.
 */
function restoreLiveInstances(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(({ dataCentre, phase }) => dataCentre === state.dataCentre && phase === 'live')
    .map(({ instance }) => ({ type: 'restoreInstance', instance }));
}

/**
 * A holder in between may have restored an instance that this controller had drained, so calls may
 * run there again. The drain is sent again and its start time reset; otherwise the instance could
 * be ended while entries still send to it.
 */
function repeatDrains(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(({ dataCentre, phase }) => dataCentre === state.dataCentre && phase === 'draining')
    .map((instance) => {
      instance.phaseSince = state.now;
      instance.phaseSinceWall = state.wallNow;
      instance.endRequestedAt = undefined;
      return { type: 'drainInstance', instance: instance.instance, reason: 'scaleIn' };
    });
}

function handleLeaseHeld(
  state: ControllerState,
  event: ControllerEvent & { readonly type: 'leaseHeld' },
): ControllerEffect[] {
  const { epoch, unfencedFrom } = event;
  if (state.lease?.epoch === epoch) return [];
  // A new epoch without a loss event: another holder may have acted in between.
  const lossEffects = handleLeaseLost(state);
  state.lease = { epoch, unfencedFrom, since: state.now };
  state.newerEpochSeen = false;
  state.orderSequence = 0;
  state.startSequence = 0;
  const fields = { epoch, unfencedWaitMilliseconds: Math.max(0, unfencedFrom - state.now) };
  return [
    ...lossEffects,
    { type: 'log', event: 'fleetTakenOver', fields },
    ...restoreLiveInstances(state),
    ...repeatDrains(state),
  ];
}

/**
 * Drops pending starts and orders, and treats reloading engines as live again. The next holder sees
 * the outcomes in lists and load reports.
 */
function handleLeaseLost(state: ControllerState): ControllerEffect[] {
  if (state.lease === undefined) return [];
  const { epoch } = state.lease;
  state.lease = undefined;
  const fields = { epoch, pendingStarts: state.pendingStarts.size };
  state.pendingStarts.clear();
  state.fleet.forEach((instance) => {
    instance.pendingOrder = undefined;
    if (instance.phase === 'reloading') instance.phase = 'live';
  });
  return [{ type: 'log', event: 'fleetLeft', fields }];
}

export function reduceLeaseOwnership(
  state: ControllerState,
  event: ControllerEvent,
): ControllerEffect[] {
  if (event.type === 'leaseHeld') return handleLeaseHeld(state, event);
  if (event.type === 'leaseLost') return handleLeaseLost(state);
  return [];
}

/**
 * What holding the lease means for the fleet. The lease part of the controller decides when it is
 * held and tells it by events.
 */
import type { ControllerEffect } from './effects.js';
import type { ControllerEvent } from './events.js';
import type { ControllerState } from './state.js';

/**
 * The last holder may have died between a drain for a reload and its end, and entries would keep
 * such an engine out of service for ever: the new holder restores whatever it does not drain
 * itself. Restoring one that was not drained changes nothing.
 */
function restoreAll(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(({ dataCentre, phase }) => dataCentre === state.dataCentre && phase === 'live')
    .map(({ instance }) => ({ type: 'restoreInstance', instance }));
}

function takeLease(
  state: ControllerState,
  event: ControllerEvent & { readonly type: 'leaseHeld' },
): ControllerEffect[] {
  const { epoch, unfencedFrom } = event;
  if (state.lease?.epoch === epoch) return [];
  state.lease = { epoch, unfencedFrom, since: state.now };
  state.newerEpochSeen = false;
  state.orderSequence = 0;
  state.startSequence = 0;
  const fields = { epoch, unfencedWaitMilliseconds: Math.max(0, unfencedFrom - state.now) };
  return [{ type: 'log', event: 'fleetTakenOver', fields }, ...restoreAll(state)];
}

/** Open answers belong to the old epoch: whoever holds the next one finds what they led to. */
function loseLease(state: ControllerState): ControllerEffect[] {
  if (state.lease === undefined) return [];
  const { epoch } = state.lease;
  state.lease = undefined;
  const fields = { epoch, pendingStarts: state.pendingStarts.size };
  state.pendingStarts.clear();
  state.fleet.forEach((instance) => {
    instance.order = undefined;
    if (instance.phase === 'reloading') instance.phase = 'live';
  });
  return [{ type: 'log', event: 'fleetLeft', fields }];
}

export function reduceLease(state: ControllerState, event: ControllerEvent): ControllerEffect[] {
  if (event.type === 'leaseHeld') return takeLease(state, event);
  if (event.type === 'leaseLost') return loseLease(state);
  return [];
}

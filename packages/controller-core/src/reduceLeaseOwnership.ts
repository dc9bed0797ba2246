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
function restoreLiveInstances(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(({ dataCentre, phase }) => dataCentre === state.dataCentre && phase === 'live')
    .map(({ instance }) => ({ type: 'restoreInstance', instance }));
}

/**
 * A drain from before this lease may have been undone by a holder in between, and then calls run
 * there again. It is told anew, and the wait until the entries have stopped begins anew; an end on
 * the strength of the old drain would cut those calls.
 */
function repeatDrains(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(({ dataCentre, phase }) => dataCentre === state.dataCentre && phase === 'draining')
    .map((instance) => {
      instance.phaseSince = state.now;
      instance.phaseSinceWall = state.wallNow;
      instance.endSentAt = undefined;
      return { type: 'drainInstance', instance: instance.instance, reason: 'scaleIn' };
    });
}

function handleLeaseHeld(
  state: ControllerState,
  event: ControllerEvent & { readonly type: 'leaseHeld' },
): ControllerEffect[] {
  const { epoch, unfencedFrom } = event;
  if (state.lease?.epoch === epoch) return [];
  // A new epoch without a word of the old one's end: somebody else may have acted in between.
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

/** Open answers belong to the old epoch: whoever holds the next one finds what they led to. */
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

/** Handles the platform's answers to requests that buy or end instances. */
import type { ControllerEffect } from '../effects.js';
import type { ControllerEvent, StartOutcome } from '../events.js';
import { addInstance, removeInstance } from '../fleet/fleet.js';
import type { ControllerState, PendingStart } from '../state.js';
import { closeAfterFailedStart, reopenPlace } from './placeClosures.js';

function handleStarted(
  state: ControllerState,
  pending: PendingStart,
  outcome: StartOutcome & { readonly type: 'started' },
): ControllerEffect[] {
  state.pendingStarts.delete(pending.startToken);
  reopenPlace(state, pending.instanceClass);
  const { instance } = outcome.instance;
  if (!state.fleet.has(instance) && !state.removedInstances.has(instance))
    addInstance(state, outcome.instance);
  return [
    {
      type: 'log',
      event: 'instanceBought',
      fields: {
        instance,
        startToken: pending.startToken,
        pool: pending.pool,
        dataCentre: state.dataCentre,
        instanceClass: pending.instanceClass,
        resends: pending.resends,
      },
    },
    { type: 'count', metric: 'instancesBought' },
  ];
}

function handleRefused(
  state: ControllerState,
  pending: PendingStart,
  reason: string,
): ControllerEffect[] {
  state.pendingStarts.delete(pending.startToken);
  const closure = closeAfterFailedStart(state, pending.instanceClass, 'refused');
  return [
    {
      type: 'log',
      event: 'startRefused',
      fields: {
        startToken: pending.startToken,
        pool: pending.pool,
        dataCentre: state.dataCentre,
        instanceClass: pending.instanceClass,
        reason,
        refusalsInRow: closure.consecutiveFailedStarts,
        closedMilliseconds: closure.until - state.now,
      },
    },
    { type: 'count', metric: 'startsRefused', label: pending.instanceClass },
  ];
}

function handleStartAnswer(
  state: ControllerState,
  startToken: string,
  outcome: StartOutcome,
): ControllerEffect[] {
  const pending = state.pendingStarts.get(startToken);
  if (pending === undefined) return [];
  switch (outcome.type) {
    case 'started':
      return handleStarted(state, pending, outcome);
    case 'refused':
      return handleRefused(state, pending, outcome.reason);
    default:
      // Lost: the start stays pending and is resent under its token after the answer timeout.
      return [];
  }
}

export function reduceBuying(state: ControllerState, event: ControllerEvent): ControllerEffect[] {
  switch (event.type) {
    case 'startAnswered':
      return handleStartAnswer(state, event.startToken, event.outcome);
    case 'endAnswered':
      if (event.ok) removeInstance(state, event.instance);
      return [];
    default:
      return [];
  }
}

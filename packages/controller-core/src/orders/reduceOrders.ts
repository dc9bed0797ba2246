/**
 * Handles the outcomes of orders, treats orders without an answer as lost, and stores the load
 * limit of the weight store.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Milliseconds, Order } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import type { ControllerEvent, OrderOutcome } from '../events.js';
import { recordStartDuration } from '../fleet/reduceFleet.js';
import type { FleetInstance } from '../fleet/FleetInstance.js';
import type { ControllerState } from '../state.js';

const FAILED_ORDER_RETRY_DELAY_MILLISECONDS: Milliseconds = 15_000;

/**
 * Clears the pending order and delays the next one. The next load report shows whether the order
 * was carried out; if so, it is not sent again.
 */
function closeForRetry(
  state: ControllerState,
  instance: FleetInstance,
  retryDelay: Milliseconds,
): void {
  instance.pendingOrder = undefined;
  instance.orderRetryAt = state.now + retryDelay + uniformInt(state.random, 0, 1000);
}

function handleDone(state: ControllerState, instance: FleetInstance, order: Order): void {
  instance.pendingOrder = undefined;
  if (order.action.type !== 'load') return;
  const { model, adapter, version } = order.action;
  instance.loaded = { model, adapter, version };
  recordStartDuration(state, instance);
}

function makeOutcomeLog(
  instance: FleetInstance,
  order: Order,
  outcome: OrderOutcome,
): ControllerEffect {
  const { instance: name, pool } = instance;
  const done = outcome.type === 'done';
  return {
    type: 'log',
    event: done ? 'orderDone' : 'orderFailed',
    fields: { instance: name, pool, order, outcome },
  };
}

function handleOutcome(
  state: ControllerState,
  instance: FleetInstance,
  order: Order,
  outcome: OrderOutcome,
): ControllerEffect[] {
  const effects = [makeOutcomeLog(instance, order, outcome)];
  switch (outcome.type) {
    case 'done':
      handleDone(state, instance, order);
      return effects;
    case 'refusedAsOld':
      // Another controller holds a newer epoch, so this one must not change the fleet any more.
      instance.pendingOrder = undefined;
      state.newerEpochSeen = true;
      return [...effects, { type: 'log', event: 'newerEpochSeen', fields: { epoch: order.epoch } }];
    case 'weightStoreBusy':
      closeForRetry(state, instance, outcome.retryAfter);
      return [...effects, { type: 'count', metric: 'fleetRetries', label: 'weightStoreBusy' }];
    case 'failed':
      closeForRetry(state, instance, FAILED_ORDER_RETRY_DELAY_MILLISECONDS);
      return [...effects, { type: 'count', metric: 'fleetRetries', label: 'orderFailed' }];
    default:
      closeForRetry(state, instance, FAILED_ORDER_RETRY_DELAY_MILLISECONDS);
      return [...effects, { type: 'count', metric: 'fleetRetries', label: 'orderAnswerLost' }];
  }
}

function handleAnswer(
  state: ControllerState,
  event: ControllerEvent & { readonly type: 'orderAnswered' },
): ControllerEffect[] {
  const instance = state.fleet.get(event.instance);
  const order = instance?.pendingOrder?.order;
  if (instance === undefined || order === undefined) return [];
  if (order.epoch !== event.epoch || order.sequence !== event.sequence) return [];
  return handleOutcome(state, instance, order, event.outcome);
}

/** Treats unanswered orders as lost after a timeout; a retry gets a higher sequence number. */
function expireOrders(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()].flatMap((instance) => {
    const { pendingOrder } = instance;
    if (pendingOrder === undefined || state.now - pendingOrder.sentAt < state.policy.orderTimeout)
      return [];
    return handleOutcome(state, instance, pendingOrder.order, { type: 'lost' });
  });
}

export function reduceOrders(state: ControllerState, event: ControllerEvent): ControllerEffect[] {
  switch (event.type) {
    case 'orderAnswered':
      return handleAnswer(state, event);
    case 'loadRateRead':
      state.loadsPerMinute = event.loadsPerMinute;
      return [];
    case 'tick':
      return expireOrders(state);
    default:
      return [];
  }
}

/** Takes in what became of orders, and notices orders that were never answered. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Milliseconds, Order } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import type { ControllerEvent, OrderOutcome } from '../events.js';
import { recordStartDuration } from '../fleet/reduceFleet.js';
import type { FleetInstance } from '../fleet/FleetInstance.js';
import type { ControllerState } from '../state.js';

const FAILED_ORDER_WAIT: Milliseconds = 15_000;

/** The order stays open no longer; what the engine reports next says whether it was carried out. */
function closeOrder(state: ControllerState, instance: FleetInstance, wait: Milliseconds): void {
  instance.pendingOrder = undefined;
  instance.orderRetryAt = state.now + wait + uniformInt(state.random, 0, 1000);
}

function takeDone(state: ControllerState, instance: FleetInstance, order: Order): void {
  instance.pendingOrder = undefined;
  if (order.action.type !== 'load') return;
  const { model, adapter, version } = order.action;
  instance.loaded = { model, adapter, version };
  recordStartDuration(state, instance);
}

function logOutcome(
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

function takeOutcome(
  state: ControllerState,
  instance: FleetInstance,
  order: Order,
  outcome: OrderOutcome,
): ControllerEffect[] {
  const effects = [logOutcome(instance, order, outcome)];
  switch (outcome.type) {
    case 'done':
      takeDone(state, instance, order);
      return effects;
    case 'refusedAsOld':
      // Another controller holds a newer epoch: whatever this one believes, it must act no more.
      instance.pendingOrder = undefined;
      state.newerEpochSeen = true;
      return [...effects, { type: 'log', event: 'newerEpochSeen', fields: { epoch: order.epoch } }];
    case 'weightStoreBusy':
      closeOrder(state, instance, outcome.retryAfter);
      return [...effects, { type: 'count', metric: 'fleetRetries', label: 'weightStoreBusy' }];
    case 'failed':
      closeOrder(state, instance, FAILED_ORDER_WAIT);
      return [...effects, { type: 'count', metric: 'fleetRetries', label: 'orderFailed' }];
    default:
      closeOrder(state, instance, FAILED_ORDER_WAIT);
      return [...effects, { type: 'count', metric: 'fleetRetries', label: 'orderAnswerLost' }];
  }
}

function takeAnswer(
  state: ControllerState,
  event: ControllerEvent & { readonly type: 'orderAnswered' },
): ControllerEffect[] {
  const instance = state.fleet.get(event.instance);
  const order = instance?.pendingOrder?.order;
  if (instance === undefined || order === undefined) return [];
  if (order.epoch !== event.epoch || order.sequence !== event.sequence) return [];
  return takeOutcome(state, instance, order, event.outcome);
}

/** Orders unanswered for too long: the next order, under a later number, makes it good. */
function expireOrders(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()].flatMap((instance) => {
    const { pendingOrder: order } = instance;
    if (order === undefined || state.now - order.sentAt < state.policy.orderTimeout) return [];
    return takeOutcome(state, instance, order.order, { type: 'lost' });
  });
}

export function reduceOrders(state: ControllerState, event: ControllerEvent): ControllerEffect[] {
  switch (event.type) {
    case 'orderAnswered':
      return takeAnswer(state, event);
    case 'loadRateRead':
      state.loadsPerMinute = event.loadsPerMinute;
      return [];
    case 'tick':
      return expireOrders(state);
    default:
      return [];
  }
}

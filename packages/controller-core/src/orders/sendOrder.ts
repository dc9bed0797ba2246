/**
 * Sends orders to engines and limits model loads: by the weight store's rate and by the number in
 * progress in the data centre.
 */
import type { Order, Pool } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import type { FleetInstance } from '../fleet/FleetInstance.js';
import type { ControllerState, HeldLease } from '../state.js';

const MINUTE_MILLISECONDS = 60_000;

/** Makes the action that loads the pool's model; undefined if the pool has no model. */
export function makeLoadAction(pool: Pool): Order['action'] | undefined {
  if (pool.model === undefined) return undefined;
  const { model, adapter, version } = pool;
  return { type: 'load', model, adapter, version };
}

/**
 * Sends an order with the lease's epoch and the next sequence number. Engines that check fencing
 * then refuse older orders that arrive later.
 */
export function sendOrder(
  state: ControllerState,
  lease: HeldLease,
  instance: FleetInstance,
  action: Order['action'],
): ControllerEffect[] {
  state.orderSequence += 1;
  const order = { epoch: lease.epoch, sequence: state.orderSequence, action };
  instance.pendingOrder = { order, sentAt: state.now, sentAtWall: state.wallNow };
  if (action.type === 'load') state.loadOrderTimes.push(state.now);
  const { instance: name, pool, loaded } = instance;
  return [
    { type: 'sendOrder', instance: name, order },
    { type: 'log', event: 'orderSent', fields: { instance: name, pool, order, loaded } },
    { type: 'count', metric: 'ordersSent' },
  ];
}

/** True if one more load is within both limits; also forgets loads ordered over a minute ago. */
export function canStartLoad(state: ControllerState): boolean {
  state.loadOrderTimes = state.loadOrderTimes.filter((at) => state.now - at < MINUTE_MILLISECONDS);
  const loadsInProgress = [...state.fleet.values()].filter(
    ({ pendingOrder }) => pendingOrder?.order.action.type === 'load',
  ).length;
  if (loadsInProgress >= state.policy.maxConcurrentLoads) return false;
  if (state.loadsPerMinute === undefined) return true;
  const dataCentres = new Set(state.configuration.pools.rows.flatMap((pool) => pool.dataCentres));
  // Each data centre gets an equal share of the weight store's rate, at least one load a minute.
  const maxLoadsPerMinute = Math.max(
    1,
    Math.floor(state.loadsPerMinute / Math.max(1, dataCentres.size)),
  );
  return state.loadOrderTimes.length < maxLoadsPerMinute;
}

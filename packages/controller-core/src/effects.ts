/** Everything a controller can ask its shell to do. */
import type { CountEffect, DrainReason, LogEffect, Order } from '@hornbeampond/schema';

/** Buys one instance. The same token never buys twice, so the shell may resend it. */
export interface StartInstanceEffect {
  readonly type: 'startInstance';
  readonly pool: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly startToken: string;
}

/** Tells the entries to send this backend server nothing new; running calls go on. */
export interface DrainInstanceEffect {
  readonly type: 'drainInstance';
  readonly instance: string;
  readonly reason: DrainReason;
}

/** Tells the entries that they may send to this backend server (again). */
export interface RestoreInstanceEffect {
  readonly type: 'restoreInstance';
  readonly instance: string;
}

/** Gives an idle, drained instance back to the platform. */
export interface EndInstanceEffect {
  readonly type: 'endInstance';
  readonly instance: string;
}

/** Sends an order; before a load the shell asks the weight store for leave. */
export interface SendOrderEffect {
  readonly type: 'sendOrder';
  readonly instance: string;
  readonly order: Order;
}

/** Effects that change the fleet; none leaves a controller that holds no lease. */
export type FleetEffect =
  | StartInstanceEffect
  | DrainInstanceEffect
  | RestoreInstanceEffect
  | EndInstanceEffect
  | SendOrderEffect;

export type ControllerEffect = FleetEffect | LogEffect | CountEffect;

/** True for effects that change the fleet. */
export function isFleetEffect(effect: ControllerEffect): effect is FleetEffect {
  return effect.type !== 'log' && effect.type !== 'count';
}

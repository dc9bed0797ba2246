/** The effects that the controller's reducer returns and the process around it carries out. */
import type { CountEffect, DrainReason, LogEffect, Order } from '@hornbeampond/schema';

/** Buys one instance. The platform sells one instance per token, so a resend is harmless. */
export interface StartInstanceEffect {
  readonly type: 'startInstance';
  readonly pool: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly startToken: string;
}

/** Makes the entries send this backend server no new calls; calls in progress continue. */
export interface DrainInstanceEffect {
  readonly type: 'drainInstance';
  readonly instance: string;
  readonly reason: DrainReason;
}

/** Lets the entries send calls to this backend server; no effect unless it was drained. */
export interface RestoreInstanceEffect {
  readonly type: 'restoreInstance';
  readonly instance: string;
}

/** Returns an idle, drained instance to the platform. */
export interface EndInstanceEffect {
  readonly type: 'endInstance';
  readonly instance: string;
}

/** Sends an order to an engine; a load is sent only after the weight store has permitted it. */
export interface SendOrderEffect {
  readonly type: 'sendOrder';
  readonly instance: string;
  readonly order: Order;
}

/** Effects that change the fleet; a controller without the lease returns none. */
export type FleetEffect =
  | StartInstanceEffect
  | DrainInstanceEffect
  | RestoreInstanceEffect
  | EndInstanceEffect
  | SendOrderEffect;

export type ControllerEffect = FleetEffect | LogEffect | CountEffect;

export function isFleetEffect(effect: ControllerEffect): effect is FleetEffect {
  return effect.type !== 'log' && effect.type !== 'count';
}

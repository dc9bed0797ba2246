/** Log events of controllers, numbered 4000 to 4999. */
import { define } from './LogEventDefinition.js';

export const controllerLogEvents = {
  leaseTaken: define(4000, 'info', 'The controller holds the lease of its data centre'),
  leaseLost: define(4001, 'warn', 'The controller holds the lease no longer and goes quiet'),
  instanceBought: define(4010, 'info', 'A backend server instance was bought'),
  startAsked: define(4011, 'info', 'The plan lacks an instance: its start was asked for'),
  startRefused: define(4012, 'warn', 'The platform refused a start; the place is closed a while'),
  startUnanswered: define(4013, 'warn', 'A start has no answer; capacity is sought elsewhere'),
  startGivenUp: define(4014, 'warn', 'A start never had an answer and is resent no more'),
  purchaseFound: define(4015, 'info', 'A purchase whose answer was lost was found in the list'),
  orphanClaimed: define(4016, 'info', 'An instance that this controller did not buy was claimed'),
  planChanged: define(4020, 'info', 'What a pool should have has changed'),
  planFallsShort: define(4021, 'warn', 'A pool cannot have what its deadlines need'),
  instanceDrained: define(4030, 'info', 'An instance gets no new work and will be ended'),
  instanceEnded: define(4031, 'info', 'An idle, drained instance was given back'),
  instanceGone: define(4032, 'info', 'An instance that was to leave is gone'),
  instanceVanished: define(4033, 'warn', 'An instance is gone without notice'),
  orderSent: define(4050, 'info', 'An order was sent to a backend server'),
  orderDone: define(4051, 'info', 'A backend server has carried out an order'),
  orderFailed: define(4052, 'warn', 'An order failed, was refused or had no answer'),
  newerEpochSeen: define(4053, 'error', 'A backend server knows a newer holder; all acts stop'),
  reloadStarted: define(4054, 'info', 'A backend server is drained so that it can be reloaded'),
  reloadFinished: define(4055, 'info', 'A reloaded backend server is back in service'),
  fleetTakenOver: define(4060, 'info', 'The controller keeps the pools of its data centre'),
  fleetLeft: define(4061, 'warn', 'The controller leaves the pools of its data centre alone'),
} as const;

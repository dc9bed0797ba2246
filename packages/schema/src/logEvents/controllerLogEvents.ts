/** Log events of controllers, numbered 4000 to 4999. */
import { defineLogEvent } from './LogEventDefinition.js';

export const controllerLogEvents = {
  leaseTaken: defineLogEvent(4000, 'info', 'The controller has acquired its lease'),
  leaseLost: defineLogEvent(
    4001,
    'warn',
    'The controller has lost its lease and stopped sending orders',
  ),
  instanceBought: defineLogEvent(4010, 'info', 'A backend server instance was bought'),
  startAsked: defineLogEvent(
    4011,
    'info',
    'The plan needs another instance; its start was requested',
  ),
  startRefused: defineLogEvent(
    4012,
    'warn',
    'The platform refused a start; no more are requested at that place for a while',
  ),
  startUnanswered: defineLogEvent(
    4013,
    'warn',
    'A start request was not answered in time; other places are tried',
  ),
  startGivenUp: defineLogEvent(
    4014,
    'warn',
    'A start request was never answered and is no longer resent',
  ),
  purchaseFound: defineLogEvent(
    4015,
    'info',
    'An instance whose start was not answered yet was found in the list',
  ),
  orphanClaimed: defineLogEvent(
    4016,
    'info',
    'An instance that this controller did not buy was added to the fleet',
  ),
  planChanged: defineLogEvent(4020, 'info', 'The plan of a pool has changed'),
  planFallsShort: defineLogEvent(
    4021,
    'warn',
    'The plan of a pool falls short of what its deadlines need',
  ),
  instanceDrained: defineLogEvent(4030, 'info', 'An instance is being drained and will be ended'),
  instanceEnded: defineLogEvent(4031, 'info', 'The end of a drained, idle instance was requested'),
  instanceGone: defineLogEvent(
    4032,
    'info',
    'A draining or leaving instance was removed from the fleet',
  ),
  instanceVanished: defineLogEvent(4033, 'warn', 'An instance was lost without notice'),
  orderSent: defineLogEvent(4050, 'info', 'An order was sent to a backend server'),
  orderDone: defineLogEvent(4051, 'info', 'A backend server has completed an order'),
  orderFailed: defineLogEvent(4052, 'warn', 'An order failed, was refused or was not answered'),
  newerEpochSeen: defineLogEvent(
    4053,
    'error',
    'A backend server has seen a newer lease epoch; the controller stops acting',
  ),
  reloadStarted: defineLogEvent(
    4054,
    'info',
    'A backend server is drained so that it can be reloaded',
  ),
  reloadFinished: defineLogEvent(4055, 'info', 'A reloaded backend server is back in service'),
  fleetTakenOver: defineLogEvent(
    4060,
    'info',
    'The controller now manages the pools of its data centre',
  ),
  sizeOrdered: defineLogEvent(4070, 'info', 'A number of instances was ordered from the platform'),
  sizeRefused: defineLogEvent(
    4071,
    'warn',
    'The platform refused an order for instances: none are available for now',
  ),
  rolloutAdvanced: defineLogEvent(4090, 'info', 'A roll-out gets another share, or has ended'),
  usageReported: defineLogEvent(
    4080,
    'info',
    'The usage of one window was reported to the platform',
  ),
  platformCallFailed: defineLogEvent(
    4081,
    'warn',
    'A call to the platform failed and will be retried',
  ),
  fleetLeft: defineLogEvent(
    4061,
    'warn',
    'The controller no longer manages the pools of its data centre',
  ),
} as const;

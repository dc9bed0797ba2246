/** Log events of controllers, numbered 4000 to 4999. */
import { defineLogEvent } from './LogEventDefinition.js';

export const controllerLogEvents = {
  leaseTaken: defineLogEvent(4000, 'info', 'The controller holds the lease of its data centre'),
  leaseLost: defineLogEvent(
    4001,
    'warn',
    'The controller holds the lease no longer and goes quiet',
  ),
  instanceBought: defineLogEvent(4010, 'info', 'A backend server instance was bought'),
  startAsked: defineLogEvent(4011, 'info', 'The plan lacks an instance: its start was asked for'),
  startRefused: defineLogEvent(
    4012,
    'warn',
    'The platform refused a start; the place is closed a while',
  ),
  startUnanswered: defineLogEvent(
    4013,
    'warn',
    'A start has no answer; capacity is sought elsewhere',
  ),
  startGivenUp: defineLogEvent(4014, 'warn', 'A start never had an answer and is resent no more'),
  purchaseFound: defineLogEvent(
    4015,
    'info',
    'A purchase whose answer was lost was found in the list',
  ),
  orphanClaimed: defineLogEvent(
    4016,
    'info',
    'An instance that this controller did not buy was claimed',
  ),
  planChanged: defineLogEvent(4020, 'info', 'What a pool should have has changed'),
  planFallsShort: defineLogEvent(4021, 'warn', 'A pool cannot have what its deadlines need'),
  instanceDrained: defineLogEvent(4030, 'info', 'An instance gets no new work and will be ended'),
  instanceEnded: defineLogEvent(4031, 'info', 'An idle, drained instance was given back'),
  instanceGone: defineLogEvent(4032, 'info', 'An instance that was to leave is gone'),
  instanceVanished: defineLogEvent(4033, 'warn', 'An instance is gone without notice'),
  orderSent: defineLogEvent(4050, 'info', 'An order was sent to a backend server'),
  orderDone: defineLogEvent(4051, 'info', 'A backend server has carried out an order'),
  orderFailed: defineLogEvent(4052, 'warn', 'An order failed, was refused or had no answer'),
  newerEpochSeen: defineLogEvent(
    4053,
    'error',
    'A backend server knows a newer holder; all acts stop',
  ),
  reloadStarted: defineLogEvent(
    4054,
    'info',
    'A backend server is drained so that it can be reloaded',
  ),
  reloadFinished: defineLogEvent(4055, 'info', 'A reloaded backend server is back in service'),
  fleetTakenOver: defineLogEvent(4060, 'info', 'The controller keeps the pools of its data centre'),
  sizeOrdered: defineLogEvent(
    4070,
    'info',
    'The platform is told how many instances there are to be',
  ),
  sizeRefused: defineLogEvent(4071, 'warn', 'The platform has no such instances to give for now'),
  usageReported: defineLogEvent(
    4080,
    'info',
    'The usage of one window was reported to the platform',
  ),
  platformCallFailed: defineLogEvent(
    4081,
    'warn',
    'A call to the platform failed and is made again',
  ),
  fleetLeft: defineLogEvent(
    4061,
    'warn',
    'The controller leaves the pools of its data centre alone',
  ),
} as const;

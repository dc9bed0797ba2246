/** Log events of entries, numbered 2000 to 2999. */
import { defineLogEvent } from './LogEventDefinition.js';

export const entryLogEvents = {
  requestAccepted: defineLogEvent(2000, 'debug', 'A request was accepted'),
  requestRefused: defineLogEvent(2001, 'info', 'A request was refused before it ran'),
  requestFinished: defineLogEvent(2002, 'debug', 'A request got its whole answer'),
  requestFailed: defineLogEvent(2003, 'warn', 'A request got a final answer other than its own'),
  attemptStarted: defineLogEvent(2010, 'debug', 'A request was sent to a backend server'),
  attemptFailed: defineLogEvent(2011, 'info', 'An attempt at a backend server failed'),
  callerGone: defineLogEvent(2020, 'debug', 'The caller closed its connection'),
  answerReplayed: defineLogEvent(
    2021,
    'debug',
    'A call sent again got the answer of its first run',
  ),
  platformUnreachable: defineLogEvent(2030, 'warn', 'The list of instances could not be read'),
  instancesUnreadable: defineLogEvent(
    2031,
    'warn',
    'Entries of the list of instances make no sense',
  ),
  requestAwaitsConfiguration: defineLogEvent(
    2004,
    'debug',
    'A request waits until this starting entry has its configuration',
  ),
  requestQueued: defineLogEvent(2100, 'debug', 'A request waits for a backend server'),
  requestLate: defineLogEvent(
    2102,
    'info',
    'A request cannot be in time and goes behind those that can',
  ),
  backendServerEjected: defineLogEvent(
    2101,
    'warn',
    'A backend server gets no new work for a while',
  ),
  connectionOnlyLost: defineLogEvent(
    2200,
    'info',
    'A connection was lost; its backend server answers',
  ),
  backendServerCrashed: defineLogEvent(
    2201,
    'warn',
    'A backend server was lost with requests in progress',
  ),
  requestQuarantined: defineLogEvent(
    2202,
    'warn',
    'A request that crashed backend servers is kept out',
  ),
  streamHandedOn: defineLogEvent(2211, 'info', 'A stream goes on at another backend server'),
  shutdownLimitReached: defineLogEvent(
    2220,
    'warn',
    'Requests were ended by the limit of the shutdown',
  ),
} as const;

/** Log events of entries, numbered 2000 to 2999. */
import { define } from './LogEventDefinition.js';

export const entryLogEvents = {
  requestAccepted: define(2000, 'debug', 'A request was accepted'),
  requestRefused: define(2001, 'info', 'A request was refused before it ran'),
  requestFinished: define(2002, 'debug', 'A request got its whole answer'),
  requestFailed: define(2003, 'warn', 'A request got a final answer other than its own'),
  attemptStarted: define(2010, 'debug', 'A request was sent to a backend server'),
  attemptFailed: define(2011, 'info', 'An attempt at a backend server failed'),
  callerGone: define(2020, 'debug', 'The caller closed its connection'),
  platformUnreachable: define(2030, 'warn', 'The list of instances could not be read'),
  requestQueued: define(2100, 'debug', 'A request waits for a backend server'),
  backendServerEjected: define(2101, 'warn', 'A backend server gets no new work for a while'),
} as const;

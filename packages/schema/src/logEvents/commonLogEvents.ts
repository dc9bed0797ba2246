/** Log events of every process, numbered 1000 to 1999. */
import { defineLogEvent } from './LogEventDefinition.js';

export const commonLogEvents = {
  processStarted: defineLogEvent(1000, 'info', 'The process has started'),
  processReady: defineLogEvent(1001, 'info', 'The process serves'),
  shutdownStarted: defineLogEvent(1002, 'info', 'A graceful shutdown has begun'),
  shutdownFinished: defineLogEvent(1003, 'info', 'The graceful shutdown has ended'),
  peerConnected: defineLogEvent(1010, 'info', 'A connection to another process is open'),
  peerDisconnected: defineLogEvent(1011, 'info', 'A connection to another process is gone'),
  peerRefused: defineLogEvent(
    1012,
    'warn',
    'A connection was refused: wrong cluster or wrong secret',
  ),
  peerSilent: defineLogEvent(1013, 'warn', 'A connection went silent and was dropped'),
  frameRejected: defineLogEvent(1014, 'warn', 'A frame was too large or could not be read'),
  configurationApplied: defineLogEvent(1020, 'info', 'A newer configuration is in force here'),
  configurationIgnored: defineLogEvent(
    1021,
    'warn',
    'A configuration older than the one in force came in',
  ),
  reclaimNoticed: defineLogEvent(
    1030,
    'warn',
    'The platform reclaims an instance; it gets no new work',
  ),
  storesRenamed: defineLogEvent(
    1040,
    'info',
    'The settings name other stores; they are sought there too',
  ),
  settingsUnusable: defineLogEvent(
    1041,
    'warn',
    'Changed settings have faults; those in force stay',
  ),
  unexpectedError: defineLogEvent(1099, 'error', 'An unexpected error was caught'),
} as const;

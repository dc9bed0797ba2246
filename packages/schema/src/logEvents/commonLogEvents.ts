/** Log events of every process, numbered 1000 to 1999. */
import { define } from './LogEventDefinition.js';

export const commonLogEvents = {
  processStarted: define(1000, 'info', 'The process has started'),
  processReady: define(1001, 'info', 'The process serves'),
  shutdownStarted: define(1002, 'info', 'A graceful shutdown has begun'),
  shutdownFinished: define(1003, 'info', 'The graceful shutdown has ended'),
  peerConnected: define(1010, 'info', 'A connection to another process is open'),
  peerDisconnected: define(1011, 'info', 'A connection to another process is gone'),
  peerRefused: define(1012, 'warn', 'A connection was refused: wrong cluster or wrong secret'),
  peerSilent: define(1013, 'warn', 'A connection went silent and was dropped'),
  frameRejected: define(1014, 'warn', 'A frame was too large or could not be read'),
  configurationApplied: define(1020, 'info', 'A newer configuration is in force here'),
  configurationIgnored: define(1021, 'warn', 'A configuration older than the one in force came in'),
  reclaimNoticed: define(1030, 'warn', 'The platform reclaims an instance; it gets no new work'),
  storesRenamed: define(1040, 'info', 'The settings name other stores; they are sought there too'),
  settingsUnusable: define(1041, 'warn', 'Changed settings have faults; those in force stay'),
  unexpectedError: define(1099, 'error', 'An unexpected error was caught'),
} as const;

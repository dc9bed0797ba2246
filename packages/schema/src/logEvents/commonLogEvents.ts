/** Log events of every process, numbered 1000 to 1999. */
import { defineLogEvent } from './LogEventDefinition.js';

export const commonLogEvents = {
  processStarted: defineLogEvent(1000, 'info', 'The process has started'),
  processReady: defineLogEvent(1001, 'info', 'The process is ready to serve'),
  shutdownStarted: defineLogEvent(1002, 'info', 'A graceful shutdown has begun'),
  shutdownFinished: defineLogEvent(1003, 'info', 'The graceful shutdown has ended'),
  peerConnected: defineLogEvent(1010, 'info', 'A connection to another process was opened'),
  peerDisconnected: defineLogEvent(1011, 'info', 'A connection to another process was closed'),
  peerRefused: defineLogEvent(
    1012,
    'warn',
    'The handshake of a connection failed; the connection was closed',
  ),
  peerSilent: defineLogEvent(1013, 'warn', 'An unresponsive connection was closed'),
  frameRejected: defineLogEvent(
    1014,
    'warn',
    'A frame was too large or invalid; its connection was closed',
  ),
  entryDigestLost: defineLogEvent(
    1015,
    'warn',
    'A digest of entry reports was lost; the complete one is requested',
  ),
  storeSilent: defineLogEvent(
    1016,
    'warn',
    'A connected store sent no digests any more; another one is used',
  ),
  storeSubscribed: defineLogEvent(
    1017,
    'info',
    'A store answered the subscription of this process',
  ),
  storeSubscriptionFailed: defineLogEvent(
    1018,
    'warn',
    'A store did not answer the subscription of this process in time',
  ),
  digestsLate: defineLogEvent(
    1019,
    'warn',
    'Digests of entry reports are applied long after the store has published them',
  ),
  digestsInTime: defineLogEvent(1022, 'info', 'Digests of entry reports are no longer late'),
  configurationApplied: defineLogEvent(1020, 'info', 'A configuration was applied'),
  configurationIgnored: defineLogEvent(
    1021,
    'warn',
    'A configuration older than the one in force was ignored',
  ),
  reclaimNoticed: defineLogEvent(
    1030,
    'warn',
    'The platform will reclaim an instance; the instance gets no new work',
  ),
  storesRenamed: defineLogEvent(
    1040,
    'info',
    'The store addresses in the settings changed; the new ones are tried too',
  ),
  settingsUnusable: defineLogEvent(
    1041,
    'warn',
    'The changed settings are invalid; the previous ones stay in force',
  ),
  unexpectedError: defineLogEvent(1099, 'error', 'An unexpected error was caught'),
} as const;

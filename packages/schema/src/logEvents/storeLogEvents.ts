/** Log events of stores, numbered 3000 to 3999. */
import { defineLogEvent } from './LogEventDefinition.js';

export const storeLogEvents = {
  logOpened: defineLogEvent(3000, 'info', 'The log on disk was read'),
  tornTailCut: defineLogEvent(
    3001,
    'warn',
    'An unfinished record at the end of the log was truncated',
  ),
  logDamaged: defineLogEvent(3002, 'error', 'The log is damaged before its end; the store stops'),
  diskFull: defineLogEvent(3003, 'error', 'The disk is full; the store is read-only'),
  storeRoleChanged: defineLogEvent(3200, 'info', 'The role of the store or its leader has changed'),
  storeMessageRefused: defineLogEvent(3201, 'warn', 'A message from another store was refused'),
  diskRefused: defineLogEvent(
    3202,
    'error',
    'The leader refused the disk of this store as outdated',
  ),
  diskFailed: defineLogEvent(3203, 'error', 'A write to the disk failed'),
  diskRestored: defineLogEvent(
    3213,
    'warn',
    'The disk takes writes again after a failure; the process ends, to read it anew when it is started',
  ),
  memoryUnreadable: defineLogEvent(
    3204,
    'warn',
    'The persisted state of entries could not be read',
  ),
  memoryNotKept: defineLogEvent(3205, 'warn', 'The state of entries could not be persisted'),
  storePartNotClosed: defineLogEvent(
    3220,
    'warn',
    'A part of a failed store did not close in time; the process ends without waiting for it',
  ),
  storeMembersChanged: defineLogEvent(3206, 'info', 'Stores joined, became voters or were removed'),
  storeElectionFailed: defineLogEvent(3207, 'warn', 'An election ended without a leader'),
  silentStoreRemoved: defineLogEvent(
    3208,
    'warn',
    'A store that was unreachable for too long was removed',
  ),
  foundingWaits: defineLogEvent(
    3230,
    'warn',
    'This store may found a cluster and waits for the answers of the other stores',
  ),
  clusterFounded: defineLogEvent(3231, 'info', 'This store has founded a cluster'),
  foundingGivenUp: defineLogEvent(
    3232,
    'warn',
    'This store founds no cluster, as there is one already',
  ),
  subscriberBehind: defineLogEvent(
    3210,
    'warn',
    'Much of what was pushed to a subscriber still waits to be sent',
  ),
  subscriberCaughtUp: defineLogEvent(3211, 'info', 'What was pushed to a subscriber has been sent'),
  storeLeaderless: defineLogEvent(
    3214,
    'warn',
    'The store has known no leader for some time, or takes no part in its cluster',
  ),
  storeLeaderKnown: defineLogEvent(
    3216,
    'info',
    'The store knows a leader again and takes part in its cluster',
  ),
  tablesReplaced: defineLogEvent(
    3300,
    'info',
    'An operator’s whole configuration was acknowledged',
  ),
  rolloutAcknowledged: defineLogEvent(3302, 'info', 'An operator’s roll-out was acknowledged'),
  operatorCallRefused: defineLogEvent(3301, 'warn', 'A call of an operator was refused'),
} as const;

/** Log events of stores, numbered 3000 to 3999. */
import { defineLogEvent } from './LogEventDefinition.js';

export const storeLogEvents = {
  logOpened: defineLogEvent(3000, 'info', 'The log on disk was read'),
  tornTailCut: defineLogEvent(
    3001,
    'warn',
    'An unfinished record at the end of the log was cut off',
  ),
  logDamaged: defineLogEvent(3002, 'error', 'The log is damaged before its end; the store stops'),
  diskFull: defineLogEvent(3003, 'error', 'The disk is full; the store is read-only'),
  storeRoleChanged: defineLogEvent(
    3200,
    'info',
    'The store has another role or follows another leader',
  ),
  storeMessageRefused: defineLogEvent(3201, 'warn', 'A message of another store was refused'),
  diskRefused: defineLogEvent(
    3202,
    'error',
    'The disk is older than what it has promised; it counts no more',
  ),
  diskFailed: defineLogEvent(3203, 'error', 'The disk could not be written'),
  memoryUnreadable: defineLogEvent(
    3204,
    'warn',
    'What was kept of entries’ knowledge could not be read',
  ),
  memoryNotKept: defineLogEvent(3205, 'warn', 'What entries know could not be kept'),
  storeMembersChanged: defineLogEvent(3206, 'info', 'Stores were let in, made voters or taken out'),
  storeElectionFailed: defineLogEvent(3207, 'warn', 'A round of votes has ended without a leader'),
  silentStoreRemoved: defineLogEvent(
    3208,
    'warn',
    'A store that was silent for too long was taken out',
  ),
  tablesReplaced: defineLogEvent(
    3300,
    'info',
    'An operator’s whole configuration was acknowledged',
  ),
  operatorCallRefused: defineLogEvent(3301, 'warn', 'A call of an operator was refused'),
} as const;

/** Log events of stores, numbered 3000 to 3999. */
import { define } from './LogEventDefinition.js';

export const storeLogEvents = {
  logOpened: define(3000, 'info', 'The log on disk was read'),
  tornTailCut: define(3001, 'warn', 'An unfinished record at the end of the log was cut off'),
  logDamaged: define(3002, 'error', 'The log is damaged before its end; the store stops'),
  diskFull: define(3003, 'error', 'The disk is full; the store is read-only'),
  storeRoleChanged: define(3200, 'info', 'The store has another role or follows another leader'),
  storeMessageRefused: define(3201, 'warn', 'A message of another store was refused'),
  diskRefused: define(
    3202,
    'error',
    'The disk is older than what it has promised; it counts no more',
  ),
  diskFailed: define(3203, 'error', 'The disk could not be written'),
  memoryUnreadable: define(3204, 'warn', 'What was kept of entries’ knowledge could not be read'),
  memoryNotKept: define(3205, 'warn', 'What entries know could not be kept'),
  storeMembersChanged: define(3206, 'info', 'Stores were let in, made voters or taken out'),
  storeElectionFailed: define(3207, 'warn', 'A round of votes has ended without a leader'),
  silentStoreRemoved: define(3208, 'warn', 'A store that was silent for too long was taken out'),
  tablesReplaced: define(3300, 'info', 'An operator’s whole configuration was acknowledged'),
  operatorCallRefused: define(3301, 'warn', 'A call of an operator was refused'),
} as const;

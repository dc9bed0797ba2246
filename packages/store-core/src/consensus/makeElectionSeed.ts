/**
 * The seed of a store's election timeouts. Stores that start together, as after a power loss, have
 * to draw different timeouts: with equal seeds all campaign at the same time, each votes for
 * itself, and the next timeouts are equal again, so that no leader is elected.
 */
import { createHash } from 'node:crypto';
import type { Sender } from './consensusTypes.js';

export function makeElectionSeed({ identity, run }: Sender): number {
  return createHash('md5').update(`${identity}/${run.count}/${run.token}`).digest().readInt32BE(0);
}

/**
 * The seed of a store's election timeouts. Stores that start together, as after a power loss, have
 * to draw apart: with equal seeds they all stand at the same moment, each votes for itself, and the
 * next timeout is the same for all again. No change is taken and no starting entry served for as
 * long as that lasts.
 */
import { createHash } from 'node:crypto';
import type { Sender } from './consensusTypes.js';

export function makeElectionSeed({ identity, run }: Sender): number {
  return createHash('md5').update(`${identity}/${run.count}/${run.token}`).digest().readInt32BE(0);
}

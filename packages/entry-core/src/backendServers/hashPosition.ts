/** A position from 0 to 2^32 - 1 that is the same for a text in all processes. */
import { createHash } from 'node:crypto';

export function hashPosition(text: string): number {
  return createHash('md5').update(text).digest().readUInt32BE(0);
}

/** Computes the digest of a key that settings and tables store in place of the key. */
import { createHash } from 'node:crypto';

export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

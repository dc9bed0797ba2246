/** The digest that settings and tables keep of a key, so that the key itself is kept nowhere. */
import { createHash } from 'node:crypto';

export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

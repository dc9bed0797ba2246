/** Checks an operator's key against the digests in the settings. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { HornbeampondError, type OperatorKey } from '@hornbeampond/schema';

/** Throws `unauthorized` unless the request carries one of the keys. */
export function authorizeOperator(request: IncomingMessage, keys: readonly OperatorKey[]): void {
  const [, key = ''] = (request.headers.authorization ?? '').split(' ');
  const digest = createHash('sha256').update(key).digest('hex');
  if (keys.some(({ keySha256 }) => keySha256 === digest)) return;
  throw new HornbeampondError('unauthorized', 'The operator key is missing or not known');
}

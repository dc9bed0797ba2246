/** Checks the key of an operator against the digests in the settings. */
import type { IncomingMessage } from 'node:http';
import { HornbeampondError, type OperatorKey } from '@hornbeampond/schema';
import { digestKey } from './digestKey.js';

/** Throws `unauthorized` unless the `Authorization` header contains one of the keys. */
export function authorizeOperator(request: IncomingMessage, keys: readonly OperatorKey[]): void {
  const [, key = ''] = (request.headers.authorization ?? '').split(' ');
  const digest = digestKey(key);
  if (keys.some(({ keySha256 }) => keySha256 === digest)) return;
  throw new HornbeampondError('unauthorized', 'The operator key is missing or not known');
}

/**
 * Asks a server for a sign of life over a new connection. A kept one would tell nothing: it may
 * be the very connection that went silent.
 */
import type { HttpConnections } from './HttpConnections.js';
import { readNothing } from './readAnswer.js';

export async function probeHealth(
  connections: HttpConnections,
  signal: AbortSignal,
): Promise<void> {
  await readNothing(await connections.sendFresh({ method: 'GET', path: '/health', signal }));
}
